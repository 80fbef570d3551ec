package io.otterknot.scheduling

import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import io.otterknot.wire.Priority
import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap

/**
 * A machine of a partition, and the ledger of what is booked on it: shown by its heartbeats, or sent and not shown yet.
 *
 * Its leader's [io.otterknot.partition.Partition] alone changes it, on the controller's event loop; each change of
 * state is one named transition below. [firstSeenMs] is when its first heartbeat came in.
 */
@Suppress("TooManyFunctions") // each change of its state is one named transition of the same ledger
class Machine(
    val id: String,
    val type: MachineType,
    val spot: Boolean,
    val firstSeenMs: Long,
    private val imageCounts: ImageCounts,
) : PlacementTarget() {
    // What its heartbeats say.

    /** The agent epoch of the last new heartbeat. */
    var epoch = 0L
        private set
    var lastSequence = -1L
        private set

    /** When the last new heartbeat came in. */
    var lastHeartbeatMs = 0L
        private set

    /** The latest moment from which its lease may count: no response that it accepted is to a later heartbeat. */
    var leaseStartMs = firstSeenMs
        private set
    var leaseExpired = false
        private set

    /** Its last heartbeat showed this leader's fencing token, so no command of an earlier leader can reach it. */
    var reconciled = false
        private set

    /** It is written down in the store, so that a later leader knows that it may hold tasks. */
    var registered = false
        private set

    /** The cloud will take this spot instance away. */
    var hasSpotNotice = false
        private set

    /** It shows a task that is not booked, so it is not known what room it has. */
    var hasUnknownTasks = false
        private set

    // Whether it is used.

    /** Set aside for good as faulty, slow, being returned or revoked: gets no task and is returned once it is empty. */
    var quarantined = false
        private set

    /** Emptied for scale-in: gets no task and is returned once it is empty, unless demand returns before. */
    var draining = false
        private set

    /**
     * Responses in a row that surely did not arrive, by what later heartbeats show. A machine whose heartbeats come
     * while responses are lost looks idle and would draw task after task.
     */
    var lostResponses = 0
        private set

    /** When a task was last placed on it only to see whether responses arrive. */
    var lastProbeMs = Long.MIN_VALUE / 2
        private set

    /** It gets nothing but one probe at a time until a heartbeat proves that responses arrive. */
    val losesResponses: Boolean get() = lostResponses >= LOST_RESPONSES_LIMIT

    /** Counts as capacity of the partition, whether or not it may get a task already. */
    val inService: Boolean get() = !quarantined && !leaseExpired && !draining
    val acceptsTasks: Boolean get() = reconciled && registered && inService && !losesResponses && !hasUnknownTasks

    // What is on it.

    val attempts = Long2ObjectLinkedOpenHashMap<Attempt>()

    /** Images that it has or is fetching, with their sizes in GB; the least recently used first. */
    val images = LinkedHashMap<String, Double>()
    val slowness = Slowness()
    var usedCores = 0.0
        private set
    var usedMemory = 0.0
        private set
    var usedGpus = 0.0
        private set

    /** What tasks that are being stopped here will free. */
    val beingFreed = MutableResources()

    /** What is reserved here for waiting tasks, by their priority. */
    private val reservedFor = Array(Priority.entries.size) { MutableResources() }

    /** Jobs of which a task failed or ran too long here, with the time until when they are not placed here. */
    private val avoidedUntilMs = HashMap<String, Long>()

    /** Attempts in a row that failed here. */
    var consecutiveFailures = 0
        private set

    /** How many jobs have had a task fail or run too long here since one last completed. */
    val failedJobCount: Int get() = avoidedUntilMs.size

    /** A new heartbeat came in; whether it shows this leader's token is another matter. */
    fun heartbeatReceived(sequence: Long, now: Long) {
        lastSequence = sequence
        lastHeartbeatMs = now
        leaseExpired = false
    }

    /** The agent starts a new epoch, having killed all of its attempts. */
    fun epochStarted(epoch: Long) {
        this.epoch = epoch
    }

    /** A response to a heartbeat of [now] may renew its lease. */
    fun leaseMayStart(now: Long) {
        leaseStartMs = now
    }

    /** No response renewed its lease in time: its agent has killed all of its attempts. */
    fun expireLease() {
        leaseExpired = true
        markNotIdle()
    }

    /** Its heartbeat shows this leader's fencing token. */
    fun reconcile() {
        if (reconciled) return
        reconciled = true
        lostResponses = 0
    }

    /** Its heartbeat shows an earlier leader's fencing token. */
    fun markUnreconciled() {
        reconciled = false
    }

    fun updateRegistration(isRegistered: Boolean) {
        registered = isRegistered
    }

    /** Whether its heartbeat carries a spot notice; what once did stays quarantined. */
    fun updateSpotNotice(hasNotice: Boolean) {
        hasSpotNotice = hasNotice
        if (hasNotice) quarantine()
    }

    fun updateUnknownTasks(showsUnknownTasks: Boolean) {
        hasUnknownTasks = showsUnknownTasks
    }

    /** Sets it aside, which is never undone. */
    fun quarantine() {
        quarantined = true
    }

    /** Begins to empty it for scale-in. */
    fun drain() {
        draining = true
    }

    /** Demand has returned before it was empty, or is looked at anew. */
    fun cancelDrain() {
        draining = false
    }

    /** So many more responses in a row did not arrive. */
    fun responsesLost(count: Int) {
        lostResponses += count
    }

    /** A heartbeat proves that responses arrive, or the responses were late and the machine is not to blame. */
    fun clearLostResponses() {
        lostResponses = 0
    }

    fun probed(now: Long) {
        lastProbeMs = now
    }

    /** An attempt of [job] failed here. */
    fun attemptFailed(job: PartitionJob, now: Long) {
        avoid(job, now)
        consecutiveFailures++
    }

    /** An attempt completed here, so the machine is sound. */
    fun attemptCompleted() {
        avoidedUntilMs.clear()
        consecutiveFailures = 0
    }

    /** No further task of [job] is placed here for a while: not for ever, as it may be the only machine that it fits. */
    fun avoid(job: PartitionJob, now: Long) {
        avoidedUntilMs[job.id] = now + AVOID_JOB_MS
    }

    fun avoids(jobId: String, now: Long): Boolean =
        avoidedUntilMs.isNotEmpty() && (avoidedUntilMs[jobId] ?: Long.MIN_VALUE) > now

    /** A task uses its image. What the image cache has no room for besides was evicted, the least recently used first. */
    fun useImage(spec: JobSpec) {
        if (images.remove(spec.image) == null) imageCounts.added(spec.image)
        images[spec.image] = spec.imageGb
        var sizeGb = images.values.sum()
        while (sizeGb > type.cacheGb && images.size > 1) {
            val oldest = images.keys.first()
            sizeGb -= images.remove(oldest) ?: 0.0
            imageCounts.removed(oldest)
        }
    }

    /** Books room for a task of [spec]. */
    fun book(spec: JobSpec) {
        usedCores += spec.cores
        usedGpus += spec.gpus
        usedMemory += spec.memoryGb
    }

    fun unbook(spec: JobSpec) {
        usedCores -= spec.cores
        usedGpus -= spec.gpus
        usedMemory -= spec.memoryGb
    }

    /** What is reserved here for waiting tasks of [priority]. */
    fun reserved(priority: Priority): MutableResources = reservedFor[priority.ordinal]

    /** The job may run on machines of this type, spot or not. */
    fun isAllowedFor(spec: JobSpec): Boolean = (spec.spot || !spot) && (spec.types == null || type.name in spec.types)

    fun hasRoomFor(spec: JobSpec): Boolean = usedCores + spec.cores <= type.cores + EPSILON &&
        usedMemory + spec.memoryGb <= type.memoryGb + EPSILON &&
        usedGpus + spec.gpus <= type.gpus + EPSILON

    /** A task fits now, without the room that is reserved for tasks of a higher priority. */
    fun hasUnreservedRoomFor(spec: JobSpec): Boolean {
        if (!hasRoomFor(spec)) return false
        var cores = usedCores - beingFreed.cores + spec.cores
        var memory = usedMemory - beingFreed.memoryGb + spec.memoryGb
        var gpus = usedGpus - beingFreed.gpus + spec.gpus
        for (higher in 0 until spec.priority.ordinal) {
            cores += reservedFor[higher].cores
            memory += reservedFor[higher].memoryGb
            gpus += reservedFor[higher].gpus
        }
        return cores <= type.cores + EPSILON && memory <= type.memoryGb + EPSILON && gpus <= type.gpus + EPSILON
    }

    /** What is free or being freed and not reserved for tasks of [priority] or a higher one. */
    fun unreservedRoom(priority: Priority): MutableResources {
        val room = MutableResources(
            type.cores - usedCores + beingFreed.cores,
            type.memoryGb - usedMemory + beingFreed.memoryGb,
            type.gpus - usedGpus + beingFreed.gpus,
        )
        for (level in 0..priority.ordinal) room.subtract(reservedFor[level])
        return room
    }

    /** The booked share of the scarcest resource. */
    fun bookedShare(): Double =
        maxOf(ratio(usedCores, type.cores), ratio(usedMemory, type.memoryGb), ratio(usedGpus, type.gpus))

    /** The share of the machine that a task of [spec] takes, of whichever resource it takes most of. */
    fun share(spec: JobSpec): Double =
        maxOf(ratio(spec.cores, type.cores), ratio(spec.memoryGb, type.memoryGb), ratio(spec.gpus, type.gpus))

    private fun ratio(part: Double, whole: Double) = if (whole > 0) part / whole else 0.0

    companion object {
        /** How far sums of cores, GB or GPUs may be off by rounding. */
        const val EPSILON = 1e-6
        private const val AVOID_JOB_MS = 15_000L

        /** So many lost responses in a row make a machine one that loses responses. */
        private const val LOST_RESPONSES_LIMIT = 2
    }
}
