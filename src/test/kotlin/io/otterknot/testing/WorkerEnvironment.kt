package io.otterknot.testing

import io.otterknot.http.HttpResponse
import io.otterknot.wire.JobSpec
import kotlinx.coroutines.CoroutineScope
import kotlin.random.Random

/** The cluster that a [SimulatedWorker] is a part of: simulated controllers, or real controller processes. */
interface WorkerEnvironment {
    val scope: CoroutineScope
    val nowMs: () -> Long
    val random: Random

    /** The labels of all controllers. */
    val nodes: List<String>
    val checks: SafetyChecks

    /** Share of worker reports whose answer is lost. */
    var lostReportAnswerShare: Double

    /** The longest random delay of an answer to a worker. */
    var maxAnswerDelayMs: Long

    /** Share of worker reports that arrive a second time, 1 s to 2.5 leases late, at the same or a random node. */
    var duplicateReportShare: Double

    /** Run times in seconds of tasks that differ from the estimate of their job, by task name. */
    val taskRunS: Map<String, Double>

    /** Whether traffic between the machines of [zone] and [node] is held back. */
    fun isHeldBack(zone: String, node: String): Boolean

    /** Called when the last task of [spec] completes on its machine. */
    fun jobCompleted(spec: JobSpec)

    /** Called when [event] happens to [task] on [worker]. */
    fun taskEvent(worker: SimulatedWorker, task: String, event: String) = Unit

    /** Sends a request to a node; returns null if there is no answer within [limitMs]. */
    suspend fun sendRequest(label: String, method: String, path: String, body: ByteArray, limitMs: Long): HttpResponse?
}
