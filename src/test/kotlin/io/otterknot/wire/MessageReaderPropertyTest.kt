package io.otterknot.wire

import io.otterknot.peer.PeerCodec
import io.otterknot.testing.HostileText
import io.otterknot.testing.onControllerStack
import io.otterknot.testing.onThreadWithStack
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import kotlin.random.Random

/** Bytes from outside are read, or refused as malformed, on a controller's stack. Jqwik draws the seeds. */
class MessageReaderPropertyTest {
    /** Guards against a limit on nesting that changes what is JSON, or what a message says. */
    @Property(tries = 400, seed = "45")
    fun `text is read as by the JSON library on an unlimited stack`(@ForAll seed: Long) {
        val text = HostileText(Random(seed)).json()
        val expected =
            onThreadWithStack(LARGE_STACK_BYTES) { parseOrNull { cut(WireJson.parseToJsonElement(text), 1) } }
        assertEquals(expected, onControllerStack { parseOrNull { parseJson(text) } })
    }

    /** Guards against a body that a reader answers with anything but a message or a refusal. */
    @Property(tries = 400, seed = "45")
    fun `a submission or heartbeat is read or refused`(@ForAll seed: Long) {
        val text = HostileText(Random(seed))
        for (body in listOf(text.json(), text.withField(SUBMISSION), text.withField(HEARTBEAT))) {
            val bytes = body.encodeToByteArray()
            onControllerStack {
                peekSubmissionId(bytes)
                readOrRefuse { parseSubmission(bytes) }
                readOrRefuse { parseHeartbeat(bytes) }
            }
        }
    }

    /** Guards against a frame of another controller that is decoded beyond its end or to an array that is not there. */
    @Property(tries = 1_000, seed = "45")
    fun `a frame of another controller is read or refused`(@ForAll seed: Long) {
        val random = Random(seed)
        val frame = random.nextBytes(random.nextInt(1, MAX_FRAME_BYTES))
        frame[0] = random.nextInt(0, MAX_FRAME_KIND).toByte()
        onControllerStack { readOrRefuse { PeerCodec.decode(frame) } }
    }

    private fun parseOrNull(parse: () -> JsonElement): JsonElement? = try {
        parse()
    } catch (_: SerializationException) {
        null
    }

    private fun readOrRefuse(read: () -> Unit) = try {
        read()
    } catch (_: MalformedMessageException) {
        // The sender gets a refusal.
    }

    /** Returns [element], which is at [depth], with everything beyond the limit replaced by null. */
    private fun cut(element: JsonElement, depth: Int): JsonElement = when {
        element !is JsonArray && element !is JsonObject -> element
        depth > MAX_JSON_NESTING -> JsonNull
        element is JsonArray -> JsonArray(element.map { cut(it, depth + 1) })
        else -> JsonObject((element as JsonObject).mapValues { cut(it.value, depth + 1) })
    }

    private companion object {
        const val LARGE_STACK_BYTES = 512L * 1024 * 1024
        const val MAX_FRAME_BYTES = 200
        const val MAX_FRAME_KIND = 10
        val SUBMISSION = listOf(
            """"Uid":"j-000412"""",
            """"Ilk":"train"""",
            """"Crew":"vision"""",
            """"Sort":"sweep"""",
            """"Rank":"high"""",
            """"Chores":16""",
            """"Cores":8.0""",
            """"Cards":1.0""",
            """"MemoryGb":64.0""",
            """"Pelt":"img-07"""",
            """"SizeGb":6.2""",
            """"Breeds":["g8"]""",
            """"Reach":null""",
            """"SamePlace":true""",
            """"Scatter":false""",
            """"Driftwood":true""",
            """"GuessS":240.0""",
            """"CacheS":30.0""",
            """"StashS":4.0""",
            """"DueS":900.0""",
            """"Awaits":["j-000002"]""",
        )
        val HEARTBEAT = listOf(
            """"Holt":"m"""",
            """"Breed":"g"""",
            """"Reach":"a"""",
            """"Dive":1""",
            """"Ripple":1""",
            """"WarningS":null""",
            """"Endpoint":"10.1.0.232:9000"""",
            """"Driftwood":true""",
            """"Warrant":41""",
            """"Chores":[{"Chore":"j-1/0","Try":1,"Mood":"running"}]""",
        )
    }
}
