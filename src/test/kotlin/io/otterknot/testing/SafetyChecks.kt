package io.otterknot.testing

import io.otterknot.http.HttpResponse
import io.otterknot.records.JobRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.wire.JobSpec
import io.otterknot.wire.JobState
import io.otterknot.wire.JobStatus
import io.otterknot.wire.WireJson
import kotlinx.serialization.json.JsonElement

const val LEASE_S = 10.0
const val CANCEL_S = 35.0
private const val CANCEL_MS = 35_000L
private const val UNANSWERED_LIMIT_MS = 75_000L
private const val START_LIMIT_MS = 240_000L
private const val STARVATION_LIMIT_MS = 90_000L
private val FINAL_STATES = setOf(JobState.DONE, JobState.CANCELLED)

/**
 * Checks the safety and liveness rules of the cluster against the answers that users got and the tasks that ran. Each
 * violation is added to [violations], most of them with the name of the rule in front.
 */
class SafetyChecks(
    private val nowMs: () -> Long,
    /** The most cores that each team may use; 0: no limit. */
    private val coreLimits: Map<String, Double>,
    private val workers: () -> Collection<ObservedMachine>,
) {
    val violations = ArrayList<String>()

    /** All jobs that users have submitted or are about to submit, by id. */
    val specs = HashMap<String, JobSpec>()

    /** The ids of the jobs whose cancellation users have requested. */
    val cancellationRequested = HashSet<String>()

    var starts = 0
        private set

    /**
     * Task starts after the cancellation of the job was reported to its user. They are allowed for cancel_s, but should
     * be rare.
     */
    var startsAfterCancel = 0
        private set

    /** The time from which on no fault is injected any more. */
    var faultsClearedMs = Long.MAX_VALUE

    private val lastReportedState = HashMap<String, JobState>()
    private val cancellationReportedMs = HashMap<String, Long>()
    private val completedTasks = HashSet<String>()
    private val acceptedMs = HashMap<String, Long>()
    private val jobCompletedMs = HashMap<String, Long>()
    private val startedJobs = HashSet<String>()
    private val lastAnsweredMs = HashMap<String, Long>()

    /** When each task first started to run (with its image fetched), by name. */
    private val taskStartedMs = HashMap<String, Long>()

    /** The time from the acceptance of the job to the first start of the task, for each started task of [team]. */
    fun taskWaitsMs(team: String): List<Long> = taskStartedMs.mapNotNull { (name, at) ->
        val job = name.substringBefore('/')
        acceptedMs[job]?.takeIf { spec(job).team == team }?.let { at - it }
    }

    /** Since when each job waits although a machine could run one of its tasks and its team is below its limit. */
    private val placeableSinceMs = HashMap<String, Long>()

    fun spec(id: String): JobSpec = specs.getValue(id)

    /** The state in the last answer to the user, or null if there was none. */
    fun lastReportedState(id: String): JobState? = lastReportedState[id]

    fun isTerminal(id: String): Boolean = lastReportedState[id] in FINAL_STATES

    fun isAccepted(id: String): Boolean = id in acceptedMs

    fun isCancelled(id: String): Boolean = id in cancellationReportedMs

    fun allTerminal(): Boolean = specs.isNotEmpty() && specs.keys.all(::isTerminal)

    fun nonTerminalJobs(): List<String> = specs.keys.filterNot(::isTerminal)

    fun onAccepted(spec: JobSpec) {
        acceptedMs[spec.id] = nowMs()
    }

    /** Called when the submission of a valid job gets [status]; 400 and 422 are final and violate a rule. */
    fun onRefused(spec: JobSpec, status: Int) {
        if (status in listOf(400, 422)) violations.add("forgotten: ${spec.id} refused with $status")
    }

    /** Called when the stored value of [key] is replaced: the terminal state of a job must never change. */
    fun onOverwrite(key: String, before: JsonElement, after: JsonElement) {
        if (!key.startsWith(StoreKeys.JOBS)) return
        val final = decodeRecord(JobRecord.serializer(), before).terminalState ?: return
        val now = decodeRecord(JobRecord.serializer(), after).terminalState
        if (now != final) violations.add("went_back: $key is stored as $final, then as $now")
    }

    /**
     * Called for each answer other than 503 about an accepted job. [before] is the last state reported to the user when
     * the request was sent, or null if there was none.
     */
    fun onAnswered(spec: JobSpec, response: HttpResponse, before: JobState?) {
        lastAnsweredMs[spec.id] = nowMs()
        if (response.status !in 200..201) {
            violations.add("forgotten: ${spec.id} got ${response.status}")
            return
        }
        val state = WireJson.decodeFromString(JobStatus.serializer(), response.body.decodeToString()).state
        checkState(spec, state, before)
        if (!isTerminal(spec.id)) lastReportedState[spec.id] = state
    }

    private fun checkState(spec: JobSpec, state: JobState, before: JobState?) {
        if (before in FINAL_STATES && before != state) violations.add("went_back: ${spec.id} $before -> $state")
        val last = lastReportedState[spec.id]
        if (before != last && last in FINAL_STATES && state in FINAL_STATES && state != last) {
            violations.add("went_back: ${spec.id} is $last and $state")
        }
        when (state) {
            JobState.CANCELLED -> {
                val byUser = spec.id in cancellationRequested || ancestors(spec).any { it in cancellationRequested }
                if (!byUser) violations.add("went_back: ${spec.id} is cancelled without a request")
                cancellationReportedMs.putIfAbsent(spec.id, nowMs())
            }

            JobState.QUEUED, JobState.RUNNING -> {
                val since = ancestors(spec).mapNotNull { cancellationReportedMs[it] }.minOrNull()
                if (since != null && nowMs() - since > CANCEL_MS) violations.add("orphaned: ${spec.id} is $state")
            }

            JobState.DONE -> {
                val missing = (0 until spec.tasks).any { "${spec.id}/$it" !in completedTasks }
                if (missing) violations.add("not_done: ${spec.id}")
            }
        }
    }

    /** The ids of all direct and transitive dependencies of a job. */
    private fun ancestors(spec: JobSpec): Set<String> {
        val found = LinkedHashSet<String>()
        val walk = ArrayDeque(listOf(spec))
        while (walk.isNotEmpty()) {
            for (id in walk.removeFirst().dependencies.orEmpty()) {
                if (found.add(id)) specs[id]?.let(walk::add)
            }
        }
        return found
    }

    /** Records the completion of task [name]; returns whether it was the last incomplete task of its job. */
    fun onTaskCompleted(name: String, spec: JobSpec): Boolean {
        val isLast = completedTasks.add(name) && isCompleted(spec.id)
        if (isLast) jobCompletedMs[spec.id] = nowMs()
        return isLast
    }

    /** Whether all tasks of the job have completed. */
    private fun isCompleted(id: String): Boolean =
        specs[id]?.let { spec -> (0 until spec.tasks).all { "$id/$it" in completedTasks } } ?: false

    /** Called when task [name] starts on [worker]. */
    fun onTaskStart(worker: ObservedMachine, name: String, spec: JobSpec) {
        starts++
        taskStartedMs.putIfAbsent(name, nowMs())
        checkTiming(name, spec)
        checkPlacement(worker, name, spec)
        val limit = coreLimits.getValue(spec.team)
        if (limit <= 0) return
        val used = usedCores(spec.team)
        if (used + spec.cores > limit + 1e-6) violations.add("quota: ${spec.team}: ${used + spec.cores}")
    }

    /** Called for each message that has a limit on its size; a report above it is refused, and its machine is lost. */
    fun onMessage(name: String, bytes: Int) {
        if (bytes > MESSAGE_LIMIT_BYTES) violations.add("too large: $name: $bytes bytes")
    }

    private fun checkTiming(name: String, spec: JobSpec) {
        val awaited = spec.dependencies.orEmpty()
        val readyMs =
            (awaited.mapNotNull(jobCompletedMs::get) + listOfNotNull(acceptedMs[spec.id])).maxOrNull() ?: nowMs()
        val waitedMs = nowMs() - readyMs
        if (startedJobs.add(spec.id) && waitedMs > START_LIMIT_MS) {
            violations.add("${spec.id} with ${spec.tasks} tasks started only after $waitedMs ms")
        }
        val incomplete = awaited.filterNot(::isCompleted)
        if (incomplete.isNotEmpty()) violations.add("too_early: $name starts before $incomplete")
        val cancelledMs = cancellationReportedMs[spec.id] ?: return
        startsAfterCancel++
        if (nowMs() - cancelledMs > CANCEL_MS) violations.add("ran_cancelled: $name starts")
    }

    private fun checkPlacement(worker: ObservedMachine, name: String, spec: JobSpec) {
        val elsewhere = workers().filter { it !== worker && it.isRunning(name) }
        if (elsewhere.isNotEmpty()) violations.add("ran_twice: $name on ${worker.id} and ${elsewhere.map { it.id }}")
        if (worker.spot && !spec.spot) violations.add("wrong_place: $name on spot machine ${worker.id}")
        if (spec.zone != null && spec.zone != worker.zone) violations.add("wrong_place: $name in ${worker.zone}")
        if (!spec.sameZone && !spec.spreadAcrossZones) return
        val sameJob = workers().flatMap { other ->
            other.runningTasks().values.filter { it.job == spec.id }.map { other.zone }
        }
        if (spec.sameZone && sameJob.any { it != worker.zone }) {
            violations.add("wrong_place: $name in ${worker.zone}, others in $sameJob")
        }
        if (spec.spreadAcrossZones && sameJob.count { it == worker.zone } + 1 > spec.maxTasksPerZone) {
            violations.add("wrong_place: too many of ${spec.id} in ${worker.zone}")
        }
    }

    private fun usedCores(team: String): Double = workers().flatMap { it.runningTasks().values }
        .map { spec(it.job) }
        .filter { it.team == team }
        .sumOf { it.cores }

    /**
     * Checks for cancelled tasks that still run and, once the faults are cleared, for jobs that starve or about which
     * no request is answered.
     */
    fun inspect() {
        for (worker in workers()) {
            for ((name, task) in worker.runningTasks()) {
                val at = cancellationReportedMs[task.job] ?: continue
                if (nowMs() - at > CANCEL_MS) violations.add("ran_cancelled: $name on ${worker.id}")
            }
        }
        if (faultsClearedMs == Long.MAX_VALUE) return
        for ((id, at) in acceptedMs) {
            if (isTerminal(id)) continue
            val unansweredMs = nowMs() - maxOf(faultsClearedMs, at, lastAnsweredMs[id] ?: 0)
            if (unansweredMs > UNANSWERED_LIMIT_MS) violations.add("forgotten: $id got no answer for $unansweredMs ms")
        }
        val activeTasks = workers().flatMapTo(HashSet()) { it.activeTasks() }
        for (spec in specs.values) checkStarvation(spec, activeTasks)
    }

    /** No job may wait for 90 s while a machine could run one of its tasks and its team is below its limit. */
    private fun checkStarvation(spec: JobSpec, activeTasks: Set<String>) {
        val id = spec.id
        if (!hasPlaceableTask(spec, activeTasks) || !fitsOnAMachine(spec)) {
            placeableSinceMs.remove(id)
        } else if (nowMs() - placeableSinceMs.getOrPut(id) { nowMs() } > STARVATION_LIMIT_MS) {
            violations.add("starved: $id waits although a machine has capacity")
        }
    }

    /** Whether the job is ready to run and has a task that is neither completed nor in [activeTasks]. */
    private fun hasPlaceableTask(spec: JobSpec, activeTasks: Set<String>): Boolean {
        if (isTerminal(spec.id) || !isAccepted(spec.id) || !spec.dependencies.orEmpty().all(::isCompleted)) return false
        return (0 until spec.tasks).map { "${spec.id}/$it" }.any { it !in completedTasks && it !in activeTasks }
    }

    private fun fitsOnAMachine(spec: JobSpec): Boolean {
        val limit = coreLimits.getValue(spec.team)
        val underLimit = limit <= 0 || usedCores(spec.team) + spec.cores <= limit
        return underLimit &&
            workers().any { it.isHealthy && it.freeCores >= spec.cores && satisfiesPlacement(spec, it) }
    }

    private fun satisfiesPlacement(spec: JobSpec, worker: ObservedMachine): Boolean {
        if ((worker.spot && !spec.spot) || (spec.zone != null && spec.zone != worker.zone)) return false
        val zones = workers().flatMap { other ->
            other.activeTasks().filter { it.startsWith("${spec.id}/") }.map { other.zone }
        }
        return !(spec.sameZone && zones.any { it != worker.zone }) &&
            !(spec.spreadAcrossZones && zones.count { it == worker.zone } + 1 > spec.maxTasksPerZone)
    }
}
