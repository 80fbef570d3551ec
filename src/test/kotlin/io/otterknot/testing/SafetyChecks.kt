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
private const val FORGOTTEN_MS = 75_000L
private const val BEGIN_MS = 240_000L
private const val STARVED_MS = 90_000L
private val FINAL_STATES = setOf(JobState.DONE, JobState.CANCELLED)

/** Knows what users were told and what ran, and notes in [broken] every rule that is broken. */
class SafetyChecks(
    private val nowMs: () -> Long,
    /** The most cores of each team; 0: no limit. */
    private val limits: Map<String, Double>,
    private val workers: () -> Collection<SimulatedWorker>,
) {
    val broken = ArrayList<String>()

    /** All jobs that users have or will have submitted. */
    val specs = HashMap<String, JobSpec>()

    /** The jobs that their users want cancelled. */
    val asked = HashSet<String>()

    var starts = 0
        private set

    /** Starts after the user was told of the cancellation: no rule forbids them for a while, but few are needed. */
    var startsAfterCancel = 0
        private set

    /** From when on all troubles are over. */
    var overMs = Long.MAX_VALUE

    private val told = HashMap<String, JobState>()
    private val cancelledAt = HashMap<String, Long>()
    private val completed = HashSet<String>()
    private val acceptedAt = HashMap<String, Long>()
    private val wholeAt = HashMap<String, Long>()
    private val began = HashSet<String>()
    private val answeredAt = HashMap<String, Long>()

    /** When each task first had its image and ran, by name. */
    private val startedAt = HashMap<String, Long>()

    /** How long each task of [team] that has begun had waited since its job was accepted. */
    fun waitsMs(team: String): List<Long> = startedAt.mapNotNull { (name, at) ->
        val job = name.substringBefore('/')
        acceptedAt[job]?.takeIf { spec(job).team == team }?.let { at - it }
    }

    /** Since when each job waits although a machine that fits has room and its team is under its limit. */
    private val roomySince = HashMap<String, Long>()

    fun spec(id: String): JobSpec = specs.getValue(id)

    /** What the user was told last. */
    fun told(id: String): JobState? = told[id]

    fun isOver(id: String): Boolean = told[id] in FINAL_STATES

    fun isAccepted(id: String): Boolean = id in acceptedAt

    fun isCancelled(id: String): Boolean = id in cancelledAt

    fun allOver(): Boolean = specs.isNotEmpty() && specs.keys.all(::isOver)

    fun open(): List<String> = specs.keys.filterNot(::isOver)

    fun accepted(spec: JobSpec) {
        acceptedAt[spec.id] = nowMs()
    }

    /** A final refusal of what the user is sure can run. */
    fun refused(spec: JobSpec, status: Int) {
        if (status in listOf(400, 422)) broken.add("forgotten: ${spec.id} refused with $status")
    }

    /** The state service holds another value for a key than before: a job's final state is never changed. */
    fun overwritten(key: String, before: JsonElement, after: JsonElement) {
        if (!key.startsWith(StoreKeys.JOBS)) return
        val final = decodeRecord(JobRecord.serializer(), before).terminalState ?: return
        val now = decodeRecord(JobRecord.serializer(), after).terminalState
        if (now != final) broken.add("went_back: $key is stored as $final, then as $now")
    }

    /** An answer other than 503 about an accepted job, whose user was told [before] when it was asked. */
    fun answered(spec: JobSpec, response: HttpResponse, before: JobState?) {
        answeredAt[spec.id] = nowMs()
        if (response.status !in 200..201) {
            broken.add("forgotten: ${spec.id} got ${response.status}")
            return
        }
        val state = WireJson.decodeFromString(JobStatus.serializer(), response.body.decodeToString()).state
        checkState(spec, state, before)
        if (!isOver(spec.id)) told[spec.id] = state
    }

    private fun checkState(spec: JobSpec, state: JobState, before: JobState?) {
        if (before in FINAL_STATES && before != state) broken.add("went_back: ${spec.id} $before -> $state")
        val last = told[spec.id]
        if (before != last && last in FINAL_STATES && state in FINAL_STATES && state != last) {
            broken.add("went_back: ${spec.id} is $last and $state")
        }
        when (state) {
            JobState.CANCELLED -> {
                val byUser = spec.id in asked || ancestors(spec).any { it in asked }
                if (!byUser) broken.add("went_back: ${spec.id} cancelled by nobody")
                cancelledAt.putIfAbsent(spec.id, nowMs())
            }

            JobState.QUEUED, JobState.RUNNING -> {
                val since = ancestors(spec).mapNotNull { cancelledAt[it] }.minOrNull()
                if (since != null && nowMs() - since > CANCEL_MS) broken.add("orphaned: ${spec.id} is called $state")
            }

            JobState.DONE -> {
                val missing = (0 until spec.tasks).any { "${spec.id}/$it" !in completed }
                if (missing) broken.add("not_done: ${spec.id}")
            }
        }
    }

    /** All that a job needs, directly or through others. */
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

    /** Whether the completion of task [name] was the last of its job. */
    fun completed(name: String, spec: JobSpec): Boolean {
        val isLast = completed.add(name) && isWhole(spec.id)
        if (isLast) wholeAt[spec.id] = nowMs()
        return isLast
    }

    /** All tasks of the job have completed. */
    private fun isWhole(id: String): Boolean =
        specs[id]?.let { spec -> (0 until spec.tasks).all { "$id/$it" in completed } } ?: false

    /** Task [name] starts on [worker]. */
    fun starting(worker: SimulatedWorker, name: String, spec: JobSpec) {
        starts++
        startedAt.putIfAbsent(name, nowMs())
        checkTimes(name, spec)
        checkPlace(worker, name, spec)
        val limit = limits.getValue(spec.team)
        val used = usedCores(spec.team)
        if (limit > 0 && used + spec.cores > limit + 1e-6) broken.add("quota: ${spec.team} uses ${used + spec.cores}")
    }

    private fun checkTimes(name: String, spec: JobSpec) {
        val awaited = spec.dependencies.orEmpty()
        val readyMs = (awaited.mapNotNull(wholeAt::get) + listOfNotNull(acceptedAt[spec.id])).maxOrNull() ?: nowMs()
        val waitedMs = nowMs() - readyMs
        if (began.add(spec.id) && waitedMs > BEGIN_MS) {
            broken.add("${spec.id} with ${spec.tasks} tasks began after $waitedMs ms")
        }
        val open = awaited.filterNot(::isWhole)
        if (open.isNotEmpty()) broken.add("too_early: $name starts before $open")
        val cancelledMs = cancelledAt[spec.id] ?: return
        startsAfterCancel++
        if (nowMs() - cancelledMs > CANCEL_MS) broken.add("ran_cancelled: $name starts")
    }

    private fun checkPlace(worker: SimulatedWorker, name: String, spec: JobSpec) {
        val elsewhere = workers().filter { it !== worker && name in it.holding() }
        if (elsewhere.isNotEmpty()) broken.add("ran_twice: $name on ${worker.id} and ${elsewhere.map { it.id }}")
        if (worker.spot && !spec.spot) broken.add("wrong_place: $name on spot machine ${worker.id}")
        if (spec.zone != null && spec.zone != worker.zone) broken.add("wrong_place: $name in ${worker.zone}")
        val sameJob = workers().flatMap { other ->
            other.holding().values.filter { it.job == spec.id }.map { other.zone }
        }
        if (spec.sameZone && sameJob.any { it != worker.zone }) {
            broken.add("wrong_place: $name in ${worker.zone}, others in $sameJob")
        }
        if (spec.spreadAcrossZones && sameJob.count { it == worker.zone } + 1 > spec.maxTasksPerZone) {
            broken.add("wrong_place: too many of ${spec.id} in ${worker.zone}")
        }
    }

    private fun usedCores(team: String): Double =
        workers().flatMap { it.holding().values }.map { spec(it.job) }.filter { it.team == team }.sumOf { it.cores }

    /** Looks for cancelled work that is still on a machine, and for jobs that wait or about which nobody is answered. */
    fun inspect() {
        for (worker in workers()) {
            for ((name, task) in worker.holding()) {
                val at = cancelledAt[task.job] ?: continue
                if (nowMs() - at > CANCEL_MS) broken.add("ran_cancelled: $name on ${worker.id}")
            }
        }
        if (overMs == Long.MAX_VALUE) return
        for ((id, at) in acceptedAt) {
            if (isOver(id)) continue
            val silentMs = nowMs() - maxOf(overMs, at, answeredAt[id] ?: 0)
            if (silentMs > FORGOTTEN_MS) broken.add("forgotten: no question about $id was answered for $silentMs ms")
        }
        val shown = workers().flatMapTo(HashSet()) { it.shown() }
        for (spec in specs.values) lookForRoom(spec, shown)
    }

    /** Nothing may wait for 90 s while a machine that fits has room and its team is under its limit. */
    private fun lookForRoom(spec: JobSpec, shown: Set<String>) {
        val id = spec.id
        if (!waits(spec, shown) || !hasRoom(spec)) {
            roomySince.remove(id)
        } else if (nowMs() - roomySince.getOrPut(id) { nowMs() } > STARVED_MS) {
            broken.add("starved: $id waits though there is room")
        }
    }

    private fun waits(spec: JobSpec, shown: Set<String>): Boolean {
        if (isOver(spec.id) || !isAccepted(spec.id) || !spec.dependencies.orEmpty().all(::isWhole)) return false
        return (0 until spec.tasks).map { "${spec.id}/$it" }.any { it !in completed && it !in shown }
    }

    private fun hasRoom(spec: JobSpec): Boolean {
        val limit = limits.getValue(spec.team)
        val underLimit = limit <= 0 || usedCores(spec.team) + spec.cores <= limit
        return underLimit && workers().any { it.sound && it.freeCores >= spec.cores && allowed(spec, it) }
    }

    private fun allowed(spec: JobSpec, worker: SimulatedWorker): Boolean {
        if ((worker.spot && !spec.spot) || (spec.zone != null && spec.zone != worker.zone)) return false
        val zones = workers().flatMap { other ->
            other.shown().filter { it.startsWith("${spec.id}/") }.map { other.zone }
        }
        return !(spec.sameZone && zones.any { it != worker.zone }) &&
            !(spec.spreadAcrossZones && zones.count { it == worker.zone } + 1 > spec.maxTasksPerZone)
    }
}
