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

/** The request body of the submission of [spec]. */
fun submissionBody(spec: JobSpec): ByteArray {
    val plain = WireJson.encodeToJsonElement(JobSpec.serializer(), spec) as JsonObject
    val fields = buildJsonObject {
        plain.forEach { (key, value) -> put(key, value) }
        put("Sort", "sweep")
    }
    return fields.toString().encodeToByteArray()
}

/** The request body of the submission of [spec] with [field], as JSON, in addition. */
fun submissionBodyWith(spec: JobSpec, field: String): ByteArray =
    (submissionBody(spec).decodeToString().removeSuffix("}") + ",$field}").encodeToByteArray()

/**
 * Users whose requests go through a load balancer: they retry each submission until it is accepted, poll the job, and
 * cancel some jobs. Every answer is passed to the safety checks.
 */
class SimulatedUsers(
    private val scope: CoroutineScope,
    private val random: Random,
    private val nowMs: () -> Long,
    private val nodes: List<String>,
    private val checks: SafetyChecks,
    private val sendRequest: suspend (
        node: String,
        method: String,
        path: String,
        body: ByteArray,
        limitMs: Long,
    ) -> HttpResponse?,
) {
    // ---- load balancer: probes the nodes; resets the connections to a node that has been unhealthy for over 5 s

    private val failedProbes = HashMap<String, Int>()
    private val unhealthySince = HashMap<String, Long>()
    private val removals = HashMap<String, Int>()

    suspend fun runLoadBalancer() {
        while (true) {
            delay(1_000)
            nodes.forEach { probe(it) }
        }
    }

    private suspend fun probe(node: String) {
        val isHealthy = sendRequest(node, "GET", "/ready", ByteArray(0), 1_000)?.status == 200
        failedProbes[node] = if (isHealthy) 0 else (failedProbes[node] ?: 0) + 1
        if (isHealthy) {
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

    /**
     * Submits [spec], as [body], until a node accepts it, then polls it. If [cancelAfterMs] is not null, the user
     * cancels the job that long after its acceptance.
     */
    fun startUser(spec: JobSpec, cancelAfterMs: Long?, body: ByteArray = submissionBody(spec)) = scope.launch {
        checks.specs[spec.id] = spec
        val connection = Connection()
        // Users list only accepted jobs as dependencies.
        while (spec.dependencies.orEmpty().any { !checks.isAccepted(it) }) delay(100)
        submit(spec, body, connection)
        val accepted = nowMs()
        while (true) {
            delay(500 + random.nextLong(2_000))
            if (cancelAfterMs != null && nowMs() - accepted > cancelAfterMs) checks.cancellationRequested.add(spec.id)
            val withdraw = spec.id in checks.cancellationRequested && !checks.isCancelled(spec.id)
            val before = checks.lastReportedState(spec.id)
            val response = if (withdraw) {
                connection.request("POST", withdrawPath(spec), ByteArray(0), WRITE_WAIT_MS)
            } else {
                connection.request("GET", path(spec), ByteArray(0), READ_WAIT_MS)
            }
            if (response != null && response.status != 503) handleAnswer(spec, response, before)
        }
    }

    private suspend fun submit(spec: JobSpec, body: ByteArray, connection: Connection) {
        while (true) {
            val before = checks.lastReportedState(spec.id)
            val response = connection.request("POST", "/submissions", body, WRITE_WAIT_MS)
            if (response != null && response.status in 200..201) {
                checks.onAccepted(spec)
                handleAnswer(spec, response, before)
                return
            }
            if (response != null) checks.onRefused(spec, response.status)
            delay(1_000)
        }
    }

    private inner class Connection {
        private var connected: String? = null

        suspend fun request(method: String, path: String, body: ByteArray, limitMs: Long): HttpResponse? {
            val node = connected?.takeUnless(::isReset) ?: connect()
            val response = sendRequest(node, method, path, body, limitMs)
            connected = if (response == null || response.close) null else node
            return response
        }
    }

    /** Requests the cancellation at random nodes until one confirms it. */
    fun cancel(spec: JobSpec) = scope.launch {
        checks.cancellationRequested.add(spec.id)
        while (!checks.isTerminal(spec.id)) {
            if (!requestOnce(spec, "POST", withdrawPath(spec), ByteArray(0))) delay(400)
        }
    }

    /** Cancels up to [count] jobs that run on [workers]. Returns these jobs. */
    fun cancelRunning(count: Int, workers: List<SimulatedWorker>): List<JobSpec> {
        val running = workers.flatMap { it.runningTasks().values }.map { it.job }.distinct()
        val chosen = running
            .filter { checks.lastReportedState(it) != JobState.DONE && it !in checks.cancellationRequested }
            .take(count)
        return chosen.map { id -> checks.spec(id).also { cancel(it) } }
    }

    fun poll(spec: JobSpec) = scope.launch { requestOnce(spec, "GET", path(spec), ByteArray(0)) }

    fun submitAgain(spec: JobSpec) = scope.launch { requestOnce(spec, "POST", "/submissions", submissionBody(spec)) }

    /**
     * Sends one request about an accepted job to a random node. Its answer must not be older than an answer that was
     * given before the request. Returns whether there was an answer other than 503.
     */
    private suspend fun requestOnce(spec: JobSpec, method: String, path: String, body: ByteArray): Boolean {
        val before = checks.lastReportedState(spec.id)
        // Some users have a shorter timeout and retry at another node.
        val limitMs = if (method == "GET" || random.nextInt(3) == 0) READ_WAIT_MS else WRITE_WAIT_MS
        val response = sendRequest(connect(), method, path, body, limitMs) ?: return false
        if (response.status == 503) return false
        handleAnswer(spec, response, before)
        return true
    }

    // ---- request bursts: users send several requests to random nodes whenever a job is accepted or ends

    var requestBursts = false

    /** Handles an answer to a request; [before] is the last state reported to users when the request was sent. */
    private fun handleAnswer(spec: JobSpec, response: HttpResponse, before: JobState?) {
        val known = checks.lastReportedState(spec.id)
        val wasTerminal = checks.isTerminal(spec.id)
        checks.onAnswered(spec, response, before)
        val hasChanged =
            (known == null && checks.lastReportedState(spec.id) != null) || checks.isTerminal(spec.id) != wasTerminal
        if (requestBursts && hasChanged) sendRequestBurst(spec)
    }

    /** Polls, resubmits or cancels the job several times at random nodes within 400 ms. */
    private fun sendRequestBurst(spec: JobSpec) = repeat(BURST_SIZE) {
        scope.launch {
            delay(random.nextLong(BURST_SPAN_MS))
            when (random.nextInt(if (spec.id in checks.cancellationRequested) 5 else 4)) {
                0, 1 -> requestOnce(spec, "GET", path(spec), ByteArray(0))
                2, 3 -> requestOnce(spec, "POST", "/submissions", submissionBody(spec))
                else -> requestOnce(spec, "POST", withdrawPath(spec), ByteArray(0))
            }
        }
    }

    /** Polls a job that was never submitted; a node that reports a state for it violates a rule. */
    suspend fun pollUnknownJob(id: String) {
        val response = sendRequest(nodes.random(random), "GET", "/submissions/$id", ByteArray(0), READ_WAIT_MS)
        if (response?.status == 200) checks.violations.add("invented: $id")
    }

    private fun path(spec: JobSpec) = "/submissions/${spec.id}"

    private fun withdrawPath(spec: JobSpec) = "${path(spec)}/withdraw"

    private companion object {
        /** How long users wait for an answer: to a poll, and to a submission or a cancellation. */
        const val READ_WAIT_MS = 2_000L
        const val WRITE_WAIT_MS = 5_000L
        const val BURST_SIZE = 8
        const val BURST_SPAN_MS = 400L
    }
}
