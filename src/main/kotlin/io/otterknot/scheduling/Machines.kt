package io.otterknot.scheduling

import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import io.otterknot.wire.Priority
import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap

enum class AttemptPhase { BOOKED, SENT, FETCHING, RUNNING, SAVING, EXITED }

/** One try at a task on one machine. */
class Attempt(
    val job: PartitionJob,
    val task: Int,
    val id: Long,
    val machine: Machine,
    var phase: AttemptPhase,
    var phaseSinceMs: Long,
) {
    /** Told to stop, or to be told with the next answer. */
    var stopping = false
        private set

    /** Since when it saves its progress; null: it was not seen to save. */
    var savingSinceMs: Long? = null

    /** This owner sent its start. */
    var startSent = false

    /** Seen to begin to run, so that its run time is known. */
    var seenRunning = false

    /** Begun before more urgent work so that its job begins at all: it is not stopped for such work. */
    var protectedFromPreemption = false

    /** The report that last showed it. */
    var lastShownSequence = -1L
    val name: String get() = "${job.id}/$task"
    val occupiesMachine: Boolean get() = phase != AttemptPhase.EXITED

    /** How long it will run yet, by the job's tasks that have completed here, or else by its owner's estimate. */
    fun expectedRemainingMs(now: Long): Double =
        job.expectedRunMs - (if (phase == AttemptPhase.RUNNING) now - phaseSinceMs else 0)

    fun requestStop() {
        if (stopping || !occupiesMachine) return
        stopping = true
        machine.beingFreed.add(job.spec)
    }
}

class MutableResources(var cores: Double = 0.0, var memoryGb: Double = 0.0, var cards: Double = 0.0) {
    fun covers(spec: JobSpec) = spec.cores <= cores + Machine.EPSILON && spec.memoryGb <= memoryGb + Machine.EPSILON &&
        spec.cards <= cards + Machine.EPSILON

    fun add(spec: JobSpec, times: Int = 1) {
        cores += spec.cores * times
        memoryGb += spec.memoryGb * times
        cards += spec.cards * times
    }

    /** Takes [spec] away, but never more than there is. */
    fun takeUpTo(spec: JobSpec) {
        cores = maxOf(0.0, cores - spec.cores)
        memoryGb = maxOf(0.0, memoryGb - spec.memoryGb)
        cards = maxOf(0.0, cards - spec.cards)
    }

    fun clear() {
        cores = 0.0
        memoryGb = 0.0
        cards = 0.0
    }
}

/** A machine in this partition and the ledger of what is booked on it: reported, or sent and not yet reported. */
class Machine(
    val id: String,
    val type: MachineType,
    val spot: Boolean,
    private val imageCounts: ImageCounts = ImageCounts(),
) : PlacementTarget() {
    var epoch = 0L
    var lastSequence = -1L

    /** Its last report showed this partition's token, so no older owner's command can reach it any more. */
    var reconciled = false
    var registered = false
    var draining = false
    var hasSpotNotice = false

    /** When the last new report came in. */
    var lastHeartbeatMs = 0L

    /** The latest moment from which the machine's lease may count: no answer that it accepted is to a later report. */
    var leaseStartMs = 0L
    var firstSeenMs = 0L
    var leaseExpired = false
    val attempts = Long2ObjectLinkedOpenHashMap<Attempt>()

    /** Images that it has or is fetching, with their sizes; the ones used longest ago first. */
    val images = LinkedHashMap<String, Double>()

    /** Jobs whose tasks failed here and are not tried here again before the time given. */
    val failedJobs = HashMap<String, Long>()

    /** For a while no further task of [job] goes here: not for ever, as this may be the only machine that it fits. */
    fun avoid(job: PartitionJob, now: Long) {
        failedJobs[job.id] = now + AVOID_MS
    }
    var failures = 0
    val slowness = Slowness()

    /**
     * Answers in a row that surely did not arrive, by what later reports show. A machine whose reports come while
     * answers are lost looks idle and would draw task after task.
     */
    var lostResponses = 0

    /** When a task last tried whether answers arrive. */
    var lastProbeMs = Long.MIN_VALUE / 2

    /** It gets nothing new until a later report proves that answers arrive: one task at a time tries that. */
    val losesResponses: Boolean get() = lostResponses >= DEAF

    /** It shows a task that is not booked: what room it has is not known. */
    var hasUnknownTasks = false

    /** Uses an image. What the machine has no space for besides has been dropped there, the longest unused first. */
    fun useImage(spec: JobSpec) {
        if (images.remove(spec.image) == null) imageCounts.added(spec.image)
        images[spec.image] = spec.imageGb
        var size = images.values.sum()
        while (size > type.cacheGb && images.size > 1) {
            val oldest = images.keys.first()
            size -= images.remove(oldest) ?: 0.0
            imageCounts.removed(oldest)
        }
    }

    fun avoids(jobId: String, now: Long): Boolean =
        failedJobs.isNotEmpty() && (failedJobs[jobId] ?: Long.MIN_VALUE) > now

    var usedCores = 0.0
    var usedCards = 0.0
    var usedMemory = 0.0

    /** Not needed any more: takes no new task and goes back once it is empty, unless it is needed again before. */
    var drainingForScaleIn = false

    /** What is being freed here by stopping tasks. */
    val beingFreed = MutableResources()

    /** What of this machine waiting tasks are to get, by their priority. */
    private val reservedFor = Array(Priority.entries.size) { MutableResources() }

    fun held(priority: Priority): MutableResources = reservedFor[priority.ordinal]

    /** Partition of what this partition has to work with, whether or not it may get a task already. */
    val inService: Boolean get() = !draining && !leaseExpired && !drainingForScaleIn
    val acceptsTasks: Boolean get() = reconciled && registered && inService && !losesResponses && !hasUnknownTasks

    fun hasRoomFor(spec: JobSpec): Boolean = usedCores + spec.cores <= type.cores + EPSILON &&
        usedMemory + spec.memoryGb <= type.memoryGb + EPSILON &&
        usedCards + spec.cards <= type.cards + EPSILON

    /** Room that is not meant for a task of a higher priority. */
    fun hasUnreservedRoomFor(spec: JobSpec): Boolean {
        if (!hasRoomFor(spec)) return false
        var cores = usedCores - beingFreed.cores + spec.cores
        var memory = usedMemory - beingFreed.memoryGb + spec.memoryGb
        var cards = usedCards - beingFreed.cards + spec.cards
        for (higher in 0 until spec.priority.ordinal) {
            cores += reservedFor[higher].cores
            memory += reservedFor[higher].memoryGb
            cards += reservedFor[higher].cards
        }
        return cores <= type.cores + EPSILON && memory <= type.memoryGb + EPSILON && cards <= type.cards + EPSILON
    }

    /** What is free or being freed and not held for anybody of [priority] or a higher one. */
    fun unreservedRoom(priority: Priority): MutableResources {
        val open = MutableResources(
            type.cores - usedCores + beingFreed.cores,
            type.memoryGb - usedMemory + beingFreed.memoryGb,
            type.cards - usedCards + beingFreed.cards,
        )
        for (level in 0..priority.ordinal) {
            open.cores -= reservedFor[level].cores
            open.memoryGb -= reservedFor[level].memoryGb
            open.cards -= reservedFor[level].cards
        }
        return open
    }

    fun isAllowedFor(spec: JobSpec): Boolean = (spec.spot || !spot) && (spec.types == null || type.name in spec.types)

    fun book(spec: JobSpec) {
        usedCores += spec.cores
        usedCards += spec.cards
        usedMemory += spec.memoryGb
    }

    fun unbook(spec: JobSpec) {
        usedCores -= spec.cores
        usedCards -= spec.cards
        usedMemory -= spec.memoryGb
    }

    /** The booked share of the scarcest resource. */
    fun bookedShare(): Double =
        maxOf(ratio(usedCores, type.cores), ratio(usedMemory, type.memoryGb), ratio(usedCards, type.cards))

    fun share(spec: JobSpec): Double =
        maxOf(ratio(spec.cores, type.cores), ratio(spec.memoryGb, type.memoryGb), ratio(spec.cards, type.cards))

    private fun ratio(partition: Double, whole: Double) = if (whole > 0) partition / whole else 0.0

    companion object {
        const val AVOID_MS = 15_000L
        const val EPSILON = 1e-6
        private const val DEAF = 2
    }
}
