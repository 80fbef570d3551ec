package io.otterknot.cluster

import io.otterknot.http.HttpRequest
import io.otterknot.http.HttpResponse
import io.otterknot.testing.SimulatedCluster
import io.otterknot.wire.ErrorResponse
import io.otterknot.wire.WireJson
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.minutes

/** What users ask that they should not, and what they ask twice. */
@OptIn(ExperimentalCoroutinesApi::class)
class UnusualRequestTest {
    private val requiredFields =
        "Uid Ilk Crew Sort Rank Chores Cores Cards MemoryGb Pelt SizeGb SamePlace Scatter Driftwood GuessS CacheS StashS"
            .split(' ')

    private fun onCluster(work: suspend SimulatedCluster.() -> Unit) = runTest(timeout = 2.minutes) {
        coroutineScope {
            val cluster = SimulatedCluster(this, 1, { testScheduler.currentTime }, teamLimit = 12.0)
            cluster.zones.forEach { cluster.boot(it, spot = false) }
            cluster.nodes.forEach(cluster::startNode)
            delay(8_000)
            cluster.work()
            currentCoroutineContext().cancelChildren()
        }
    }

    private suspend fun SimulatedCluster.send(
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
    ): HttpResponse = controller(nodes.random(random)).handleRequest(HttpRequest(method, path, body))

    private fun HttpResponse.state() =
        WireJson.parseToJsonElement(body.decodeToString()).jsonObject.getValue("Mood").jsonPrimitive.content

    private fun HttpResponse.why() = WireJson.decodeFromString(ErrorResponse.serializer(), body.decodeToString()).error

    private fun SimulatedCluster.fields(id: Int): JsonObject =
        WireJson.parseToJsonElement(body(spec(id, 2)).decodeToString()).jsonObject

    private fun JsonObject.but(name: String, value: JsonPrimitive?) = (
        if (value ==
            null
        ) {
            JsonObject(this - name)
        } else {
            JsonObject(this + (name to value))
        }
        ).toString().encodeToByteArray()

    @Test
    fun `what lacks a field is refused by name, what can never run with 422, and neither is known later`() = onCluster {
        var id = 500
        suspend fun refused(status: Int, field: String, value: JsonPrimitive?) {
            val spec = fields(++id)
            val answer = send("POST", "/submissions", spec.but(field, value))
            assertEquals(status, answer.status, "$field = $value")
            assertTrue(status == 422 || field in answer.why(), answer.why())
            assertEquals(404, send("GET", "/submissions/j-000$id").status)
        }
        for (field in requiredFields) {
            refused(400, field, null)
            refused(400, field, JsonNull)
            refused(
                400,
                field,
                if (fields(1).getValue(field).toString().startsWith('"')) JsonPrimitive(7) else JsonPrimitive("x"),
            )
        }
        for (field in listOf("Chores", "Cores", "Cards", "MemoryGb", "SizeGb", "GuessS", "CacheS", "StashS", "DueS")) {
            refused(
                400,
                field,
                JsonPrimitive(-1),
            )
        }
        for ((field, value) in listOf(
            "Cores" to 9.0,
            "Cores" to 12.5,
            "MemoryGb" to 65.0,
            "Cards" to 1.0,
        )) {
            refused(422, field, JsonPrimitive(value))
        }
        refused(422, "Crew", JsonPrimitive("green"))
        refused(422, "Reach", JsonPrimitive("nowhere"))
        for (body in listOf(
            "",
            "[]",
            "{",
            "7",
        )) {
            assertEquals(400, send("POST", "/submissions", body.encodeToByteArray()).status)
        }
        assertEquals(0, starts)
    }

    @Test
    fun `a path that is none gets 404, a method that is none 405 with the one that is`() = onCluster {
        for (path in listOf(
            "/",
            "/submissions/",
            "/submissions/x/y",
            "/do",
            "/submissions/j-1/withdraw/now",
        )) {
            assertEquals(404, send("GET", path).status, path)
        }
        for ((method, path, allowed) in listOf(
            Triple("GET", "/submissions", "POST"),
            Triple("POST", "/submissions/j-000001", "GET"),
            Triple("GET", "/submissions/j-000001/withdraw", "POST"),
            Triple("POST", "/ready", "GET"),
        )) {
            val answer = send(method, path)
            assertEquals(405 to allowed, answer.status to answer.allow, path)
        }
        for (id in listOf("j-999999", "j-", "x", "j-12x", "j-1234567890123456789012")) {
            assertEquals(404, send("GET", "/submissions/$id").status, id)
            assertEquals(404, send("POST", "/submissions/$id/withdraw").status, id)
        }
    }

    /**
     * A repeat may come at any time, spoilt on the way or asking for what would be refused now: what is known is never
     * refused.
     */
    @Test
    fun `what is known is answered with its state, however it is asked`() = onCluster {
        val good = body(expect(spec(601, 2, 3.0)))
        assertEquals(201, send("POST", "/submissions", good).status)
        val spoilt = fields(601).but("Cores", JsonPrimitive(-1))
        suspend fun all(vararg states: String) {
            for (answer in listOf(
                send("POST", "/submissions", good),
                send("POST", "/submissions", spoilt),
                send("GET", "/submissions/j-000601"),
            )) {
                assertTrue(
                    answer.status == 200 && answer.state() in states,
                    "${answer.status} ${answer.body.decodeToString()}",
                )
            }
        }
        all("queued", "running")
        delay(20_000)
        all("done")
        assertEquals(
            "done",
            send("POST", "/submissions/j-000601/withdraw").state(),
            "what is done is not cancelled any more",
        )
        all("done")
        send("POST", "/submissions", body(expect(spec(603, 2, 30.0))))
        assertEquals("aborted", send("POST", "/submissions/j-000603/withdraw").state())
        assertEquals("aborted", send("POST", "/submissions/j-000603/withdraw").state())
        assertEquals("aborted", send("POST", "/submissions", body(spec(603, 2, 30.0))).state())
    }

    @Test
    fun `while the state service is away what is not known for sure is refused at once, with the time to come back`() =
        onCluster {
            send("POST", "/submissions", body(expect(spec(611, 2, 60.0))))
            state.outage(true)
            delay(3_000)
            for ((method, path, body) in listOf(
                Triple("POST", "/submissions", body(spec(612, 1))),
                Triple("GET", "/submissions/j-000611", ByteArray(0)),
                Triple("GET", "/submissions/j-000999", ByteArray(0)),
                Triple("POST", "/submissions/j-000611/withdraw", ByteArray(0)),
                Triple("POST", "/submissions", fields(613).but("Cores", null)),
            )) {
                val answer = send(method, path, body)
                assertTrue(answer.status == 503 && answer.retryAfterS != null, "$method $path: ${answer.status}")
            }
        }

    /** What it answers to a job that awaits others, before anything is known to have changed. */
    @Test
    fun `a job may await only what was accepted, and is cancelled with what it awaits`() = onCluster {
        suspend fun submit(id: Int, vararg awaits: String) =
            send("POST", "/submissions", body(expect(spec(id, 1, 30.0).copy(dependencies = awaits.toList()))))
        assertEquals(201, submit(701).status)
        for (unknown in listOf("j-000799", "j-000702", "j-701")) {
            val answer = submit(702, "j-000701", unknown)
            assertTrue(answer.status == 422 && unknown in answer.why(), answer.why())
            assertEquals(404, send("GET", "/submissions/j-000702").status)
        }
        assertEquals(201 to "queued", submit(702, "j-000701").let { it.status to it.state() })
        assertEquals(
            200 to "queued",
            submit(702, "j-000799").let {
                it.status to it.state()
            },
            "what is known is answered before that is looked at",
        )
        assertEquals(201 to "queued", submit(703, "j-000702", "j-000701").let { it.status to it.state() })
        delay(5_000)
        assertEquals(1, starts)
        assertEquals("aborted", send("POST", "/submissions/j-000701/withdraw").state())
        for (id in listOf(702, 703)) {
            assertEquals("aborted", send("GET", "/submissions/j-000$id").state())
            assertEquals("aborted", send("POST", "/submissions/j-000$id/withdraw").state())
            assertEquals(200 to "aborted", submit(id).let { it.status to it.state() })
        }
        assertEquals(
            201 to "aborted",
            submit(704, "j-000703").let {
                it.status to it.state()
            },
            "it is accepted all the same",
        )
        delay(10_000)
        assertTrue(
            listOf(702, 703, 704).all {
                "\"x\":\"a\"" in state.value("o/j/j-000$it").toString()
            },
            "and their final states are written",
        )
        assertEquals(1, starts)
        state.outage(true)
        delay(3_000)
        assertTrue(submit(705, "j-000701").let { it.status == 503 && it.retryAfterS != null })
    }
}
