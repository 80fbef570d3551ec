package io.otterknot.testing

import io.otterknot.http.HttpResponse
import io.otterknot.wire.JobSpec
import io.otterknot.wire.JobState
import io.otterknot.wire.WireJson
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlin.random.Random

/** The body of a submission. */
fun submissionBody(spec: JobSpec): ByteArray {
    val plain = WireJson.encodeToJsonElement(JobSpec.serializer(), spec) as JsonObject
    val fields = buildJsonObject {
        plain.forEach { (key, value) -> put(key, value) }
        put("Sort", "sweep")
    }
    return fields.toString().encodeToByteArray()
}

/** Users behind a load balancer: they submit until they are accepted, poll until the end, and cancel. */
class SimulatedUsers(
    private val scope: CoroutineScope,
    private val random: Random,
    private val nowMs: () -> Long,
    private val nodes: List<String>,
    private val rules: SafetyChecks,
    private val ask: suspend (
        node: String,
        method: String,
        path: String,
        body: ByteArray,
        limitMs: Long,
    ) -> HttpResponse?,
) {
    // ---- the balancer: it probes the nodes, and resets connections to one that has been unhealthy for long

    private val failedProbes = HashMap<String, Int>()
    private val unhealthySince = HashMap<String, Long>()
    private val removals = HashMap<String, Int>()

    suspend fun balance() {
        while (true) {
            delay(1_000)
            nodes.forEach { probe(it) }
        }
    }

    private suspend fun probe(node: String) {
        val good = ask(node, "GET", "/ready", ByteArray(0), 1_000)?.status == 200
        failedProbes[node] = if (good) 0 else (failedProbes[node] ?: 0) + 1
        if (good) {
            unhealthySince.remove(node)
        } else if (failedProbes[node] == 2) {
            unhealthySince[node] = nowMs()
            removals.merge(node, 1, Int::plus)
        }
    }

    fun removals(node: String): Int = removals[node] ?: 0

    private fun connect(): String = nodes.filter { it !in unhealthySince }.ifEmpty { nodes }.random(random)

    private fun isReset(node: String): Boolean = unhealthySince[node]?.let { nowMs() - it > 5_000 } ?: false

    // ---- users

    /** Submits until some node accepts, then polls until the end; a cancelled one is withdrawn after a while. */
    fun user(spec: JobSpec, cancelAfterMs: Long?) = scope.launch {
        rules.specs[spec.id] = spec
        val connection = Connection()
        // Users name only jobs that were accepted.
        while (spec.dependencies.orEmpty().any { !rules.isAccepted(it) }) delay(100)
        submit(spec, connection)
        val accepted = nowMs()
        while (true) {
            delay(500 + random.nextLong(2_000))
            if (cancelAfterMs != null && nowMs() - accepted > cancelAfterMs) rules.asked.add(spec.id)
            val withdraw = spec.id in rules.asked && !rules.isCancelled(spec.id)
            val before = rules.told(spec.id)
            val response = if (withdraw) {
                connection.request("POST", withdrawPath(spec), ByteArray(0), WRITE_WAIT_MS)
            } else {
                connection.request("GET", path(spec), ByteArray(0), READ_WAIT_MS)
            }
            if (response != null && response.status != 503) answered(spec, response, before)
        }
    }

    private suspend fun submit(spec: JobSpec, connection: Connection) {
        while (true) {
            val before = rules.told(spec.id)
            val response = connection.request("POST", "/submissions", submissionBody(spec), WRITE_WAIT_MS)
            if (response != null && response.status in 200..201) {
                rules.accepted(spec)
                answered(spec, response, before)
                return
            }
            if (response != null) rules.refused(spec, response.status)
            delay(1_000)
        }
    }

    private inner class Connection {
        private var connected: String? = null

        suspend fun request(method: String, path: String, body: ByteArray, limitMs: Long): HttpResponse? {
            val node = connected?.takeUnless(::isReset) ?: connect()
            val response = ask(node, method, path, body, limitMs)
            connected = if (response == null || response.close) null else node
            return response
        }
    }

    /** Asks any node until one confirms it. */
    fun cancel(spec: JobSpec) = scope.launch {
        rules.asked.add(spec.id)
        while (!rules.isOver(spec.id)) {
            if (!askOnce(spec, "POST", withdrawPath(spec), ByteArray(0))) delay(400)
        }
    }

    fun poll(spec: JobSpec) = scope.launch { askOnce(spec, "GET", path(spec), ByteArray(0)) }

    fun submitAgain(spec: JobSpec) = scope.launch { askOnce(spec, "POST", "/submissions", submissionBody(spec)) }

    /** One request about an accepted job, to any node, whose answer must not be older than what was told before. */
    private suspend fun askOnce(spec: JobSpec, method: String, path: String, body: ByteArray): Boolean {
        val before = rules.told(spec.id)
        // Some users are less patient and ask elsewhere.
        val limitMs = if (method == "GET" || random.nextInt(3) == 0) READ_WAIT_MS else WRITE_WAIT_MS
        val response = ask(connect(), method, path, body, limitMs) ?: return false
        if (response.status == 503) return false
        answered(spec, response, before)
        return true
    }

    // ---- close looks: users ask at all nodes, again and again, whenever they have learnt something of a job

    var closeLooks = false

    /** Takes an answer to a request that was begun when users had been told [before]. */
    private fun answered(spec: JobSpec, response: HttpResponse, before: JobState?) {
        val known = rules.told(spec.id)
        val wasOver = rules.isOver(spec.id)
        rules.answered(spec, response, before)
        val hasNews = (known == null && rules.told(spec.id) != null) || rules.isOver(spec.id) != wasOver
        if (closeLooks && hasNews) lookClosely(spec)
    }

    /** Asks about the job, submits it or cancels it again, at any node and several times within milliseconds. */
    private fun lookClosely(spec: JobSpec) = repeat(CLOSE_LOOKS) {
        scope.launch {
            delay(random.nextLong(CLOSE_LOOK_MS))
            when (random.nextInt(if (spec.id in rules.asked) 5 else 4)) {
                0, 1 -> askOnce(spec, "GET", path(spec), ByteArray(0))
                2, 3 -> askOnce(spec, "POST", "/submissions", submissionBody(spec))
                else -> askOnce(spec, "POST", withdrawPath(spec), ByteArray(0))
            }
        }
    }

    /** Somebody asks about a job that nobody has submitted. */
    suspend fun stranger(id: String) {
        val response = ask(nodes.random(random), "GET", "/submissions/$id", ByteArray(0), READ_WAIT_MS)
        if (response?.status == 200) rules.broken.add("invented: $id")
    }

    private fun path(spec: JobSpec) = "/submissions/${spec.id}"

    private fun withdrawPath(spec: JobSpec) = "${path(spec)}/withdraw"

    private companion object {
        /** How long users wait for an answer to a question, and to a submission or a cancellation. */
        const val READ_WAIT_MS = 2_000L
        const val WRITE_WAIT_MS = 5_000L
        const val CLOSE_LOOKS = 8
        const val CLOSE_LOOK_MS = 400L
    }
}
