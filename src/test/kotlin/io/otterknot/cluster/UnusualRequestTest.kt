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

/** Invalid requests, repeated requests, and requests during an outage of the state service. */
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

    private fun HttpResponse.errorMessage() =
        WireJson.decodeFromString(ErrorResponse.serializer(), body.decodeToString()).error

    private fun SimulatedCluster.fields(id: Int): JsonObject =
        WireJson.parseToJsonElement(body(spec(id, 2)).decodeToString()).jsonObject

    private fun JsonObject.withField(name: String, value: JsonPrimitive?) = (
        if (value == null) {
            JsonObject(this - name)
        } else {
            JsonObject(this + (name to value))
        }
        ).toString().encodeToByteArray()

    @Test
    fun `an invalid field gets 400 with its name, a job that can never run 422, and neither is stored`() = onCluster {
        var id = 500
        suspend fun assertRefused(status: Int, field: String, value: JsonPrimitive?) {
            val spec = fields(++id)
            val answer = send("POST", "/submissions", spec.withField(field, value))
            assertEquals(status, answer.status, "$field = $value")
            assertTrue(status == 422 || field in answer.errorMessage(), answer.errorMessage())
            assertEquals(404, send("GET", "/submissions/j-000$id").status)
        }
        for (field in requiredFields) {
            assertRefused(400, field, null)
            assertRefused(400, field, JsonNull)
            assertRefused(
                400,
                field,
                if (fields(1).getValue(field).toString().startsWith('"')) JsonPrimitive(7) else JsonPrimitive("x"),
            )
        }
        for (field in listOf("Chores", "Cores", "Cards", "MemoryGb", "SizeGb", "GuessS", "CacheS", "StashS", "DueS")) {
            assertRefused(
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
            assertRefused(422, field, JsonPrimitive(value))
        }
        assertRefused(422, "Crew", JsonPrimitive("green"))
        assertRefused(422, "Reach", JsonPrimitive("nowhere"))
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
    fun `an unknown path gets 404, a wrong method 405 with the allowed one`() = onCluster {
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
     * A submission may be repeated at any time, even corrupted on the way or with content that would be refused now. A
     * request about a known job is never refused.
     */
    @Test
    fun `every request about a known job is answered with its state`() = onCluster {
        val submission = body(registerJob(spec(601, 2, 3.0)))
        assertEquals(201, send("POST", "/submissions", submission).status)
        val invalidRepeat = fields(601).withField("Cores", JsonPrimitive(-1))
        suspend fun assertEachAnswers(vararg states: String) {
            for (answer in listOf(
                send("POST", "/submissions", submission),
                send("POST", "/submissions", invalidRepeat),
                send("GET", "/submissions/j-000601"),
            )) {
                assertTrue(
                    answer.status == 200 && answer.state() in states,
                    "${answer.status} ${answer.body.decodeToString()}",
                )
            }
        }
        assertEachAnswers("queued", "running")
        delay(20_000)
        assertEachAnswers("done")
        assertEquals(
            "done",
            send("POST", "/submissions/j-000601/withdraw").state(),
            "a done job cannot be cancelled",
        )
        assertEachAnswers("done")
        send("POST", "/submissions", body(registerJob(spec(603, 2, 30.0))))
        assertEquals("aborted", send("POST", "/submissions/j-000603/withdraw").state())
        assertEquals("aborted", send("POST", "/submissions/j-000603/withdraw").state())
        assertEquals("aborted", send("POST", "/submissions", body(spec(603, 2, 30.0))).state())
    }

    @Test
    fun `during an outage a request that cannot be answered reliably gets 503 with a retry time immediately`() =
        onCluster {
            send("POST", "/submissions", body(registerJob(spec(611, 2, 60.0))))
            state.outage(true)
            delay(3_000)
            for ((method, path, body) in listOf(
                Triple("POST", "/submissions", body(spec(612, 1))),
                Triple("GET", "/submissions/j-000611", ByteArray(0)),
                Triple("GET", "/submissions/j-000999", ByteArray(0)),
                Triple("POST", "/submissions/j-000611/withdraw", ByteArray(0)),
                Triple("POST", "/submissions", fields(613).withField("Cores", null)),
            )) {
                val answer = send(method, path, body)
                assertTrue(answer.status == 503 && answer.retryAfterS != null, "$method $path: ${answer.status}")
            }
        }

    /** The answers about jobs with dependencies, also right after a dependency was cancelled. */
    @Test
    fun `a job may depend only on accepted jobs and is cancelled with its dependencies`() = onCluster {
        suspend fun submit(id: Int, vararg dependencies: String) = send(
            "POST",
            "/submissions",
            body(registerJob(spec(id, 1, 30.0).copy(dependencies = dependencies.toList()))),
        )
        assertEquals(201, submit(701).status)
        for (unknown in listOf("j-000799", "j-000702", "j-701")) {
            val answer = submit(702, "j-000701", unknown)
            assertTrue(answer.status == 422 && unknown in answer.errorMessage(), answer.errorMessage())
            assertEquals(404, send("GET", "/submissions/j-000702").status)
        }
        assertEquals(201 to "queued", submit(702, "j-000701").let { it.status to it.state() })
        assertEquals(
            200 to "queued",
            submit(702, "j-000799").let { it.status to it.state() },
            "a known job is answered before its dependencies are checked",
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
            submit(704, "j-000703").let { it.status to it.state() },
            "a job with a cancelled dependency is accepted",
        )
        delay(10_000)
        assertTrue(
            listOf(702, 703, 704).all { "\"x\":\"a\"" in state.value("o/j/j-000$it").toString() },
            "the terminal states of the cancelled jobs are stored",
        )
        assertEquals(1, starts)
        state.outage(true)
        delay(3_000)
        assertTrue(submit(705, "j-000701").let { it.status == 503 && it.retryAfterS != null })
    }
}
