package io.otterknot.scheduling

import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap

/**
 * A machine of a partition and the resources booked on it: for attempts that its heartbeats report, and for placed
 * attempts that no heartbeat has reported yet.
 *
 * Only the leader's [io.otterknot.partition.Partition] modifies it, on the controller's event loop; each state change
 * is one named transition below. [firstSeenMs] is when the first heartbeat was received.
 */
@Suppress("TooManyFunctions") // each state change is one named transition of the same ledger
class Machine(
    val id: String,
    val type: MachineType,
    val spot: Boolean,
    val firstSeenMs: Long,
    private val imageCounts: ImageCounts,
) : PlacementTarget() {
    // State reported by heartbeats.

    /** The worker epoch of the last accepted heartbeat. */
    var epoch = 0L
        private set
    var lastSequence = -1L
        private set

    /** When the last accepted heartbeat was received. */
    var lastHeartbeatMs = 0L
        private set

    /**
     * The latest possible start of the machine's current lease: every response that it has accepted answers a heartbeat
     * received at or before this time.
     */
    var leaseStartMs = firstSeenMs
        private set
    var leaseExpired = false
        private set

    /**
     * Whether the last heartbeat carried this leader's fencing token, so that the machine rejects commands of earlier
     * leaders.
     */
    var reconciled = false
        private set

    /** Whether the machine is recorded in the store, so that a later leader expects it to run tasks. */
    var registered = false
        private set

    /** Whether the cloud has announced that it will revoke this spot instance. */
    var hasSpotNotice = false
        private set

    /** Whether the machine reports a task that is not booked, which makes its free capacity unknown. */
    var hasUnknownTasks = false
        private set

    // Availability for placement.

    /**
     * Whether the machine is permanently excluded as faulty, slow, being released or being revoked. It gets no further
     * tasks and is released once it is empty.
     */
    var quarantined = false
        private set

    /**
     * Whether the machine is being drained for scale-in. It gets no further tasks and is released once it is empty,
     * unless demand rises before that.
     */
    var draining = false
        private set

    /**
     * The number of consecutive responses that later heartbeats prove to be lost. A machine whose heartbeats arrive
     * while the responses to it are lost looks idle and would attract one task after the other.
     */
    var lostResponses = 0
        private set

    /** When a task was last placed on the machine only to test whether responses reach it. */
    var lastProbeMs = Long.MIN_VALUE / 2
        private set

    /**
     * Whether responses to the machine are assumed lost. It then gets only one probe task at a time until a heartbeat
     * proves that responses arrive.
     */
    val losesResponses: Boolean get() = lostResponses >= LOST_RESPONSES_LIMIT

    /** Whether the machine counts as capacity of the partition, even if it can't accept tasks yet. */
    val inService: Boolean get() = !quarantined && !leaseExpired && !draining
    val acceptsTasks: Boolean get() = reconciled && registered && inService && !losesResponses && !hasUnknownTasks

    // Attempts, images and resources.

    val attempts = Long2ObjectLinkedOpenHashMap<Attempt>()

    /** The images that the machine has or is fetching, with their sizes in GB, the least recently used first. */
    val images = LinkedHashMap<String, Double>()
    val slowness = Slowness()
    val resources = MachineResources(type)

    /** The jobs of which a task failed or ran too long on this machine, with the time until which it is avoided. */
    private val avoidedUntilMs = HashMap<String, Long>()

    /** The number of consecutive failed attempts on this machine. */
    var consecutiveFailures = 0
        private set

    /** The number of jobs of which a task failed or ran too long on this machine since its last completed attempt. */
    val failedJobCount: Int get() = avoidedUntilMs.size

    /** Records an accepted heartbeat, with or without this leader's fencing token; see [reconcile]. */
    fun heartbeatReceived(sequence: Long, now: Long) {
        lastSequence = sequence
        lastHeartbeatMs = now
        leaseExpired = false
    }

    /** Records that the worker has killed all of its attempts and started a new epoch. */
    fun epochStarted(epoch: Long) {
        this.epoch = epoch
    }

    /** Records that the response to the heartbeat received at [now] may renew the machine's lease. */
    fun leaseMayStart(now: Long) {
        leaseStartMs = now
    }

    /** Takes the machine out of service until it reports again: its lease was not renewed in time, or it is gone. */
    fun expireLease() {
        leaseExpired = true
        markNotIdle()
    }

    /** Records that the heartbeat carries this leader's fencing token. */
    fun reconcile() {
        if (reconciled) return
        reconciled = true
        lostResponses = 0
    }

    /** Records that the heartbeat carries an earlier leader's fencing token. */
    fun markUnreconciled() {
        reconciled = false
    }

    fun updateRegistration(isRegistered: Boolean) {
        registered = isRegistered
    }

    /** Records whether the heartbeat carries a spot notice. A notice quarantines the machine permanently. */
    fun updateSpotNotice(hasNotice: Boolean) {
        hasSpotNotice = hasNotice
        if (hasNotice) quarantine()
    }

    /**
     * Records whether the last heartbeat shows tasks that are not booked and have not exited, and how many bytes the
     * statuses of all attempts that are not booked took in it.
     */
    fun updateUnbookedTasks(showsUnknownTasks: Boolean, statusBytes: Int) {
        hasUnknownTasks = showsUnknownTasks
        resources.updateUnbookedStatuses(statusBytes)
    }

    /** Excludes the machine from placement permanently. */
    fun quarantine() {
        quarantined = true
    }

    /** Starts draining the machine for scale-in. */
    fun drain() {
        draining = true
    }

    /** Cancels the drain because demand rose before the machine was empty, or because demand is re-evaluated. */
    fun cancelDrain() {
        draining = false
    }

    /** Records that [count] more consecutive responses were lost. */
    fun responsesLost(count: Int) {
        lostResponses += count
    }

    /**
     * Resets the count of lost responses: a heartbeat proves that responses arrive, or the controller sent them late
     * and the machine is not the cause.
     */
    fun clearLostResponses() {
        lostResponses = 0
    }

    fun probed(now: Long) {
        lastProbeMs = now
    }

    /** Records a failed attempt of [job] on this machine. */
    fun attemptFailed(job: PartitionJob, now: Long) {
        avoid(job, now)
        consecutiveFailures++
    }

    /** Records a completed attempt, which shows that the machine works, and forgets earlier failures. */
    fun attemptCompleted() {
        avoidedUntilMs.clear()
        consecutiveFailures = 0
    }

    /**
     * Keeps further tasks of [job] off this machine for [AVOID_JOB_MS]. The exclusion is temporary, since
     * this may be the only machine that the job fits on.
     */
    fun avoid(job: PartitionJob, now: Long) {
        avoidedUntilMs[job.id] = now + AVOID_JOB_MS
    }

    fun avoids(jobId: String, now: Long): Boolean =
        avoidedUntilMs.isNotEmpty() && (avoidedUntilMs[jobId] ?: Long.MIN_VALUE) > now

    /**
     * Marks the image of [spec] as the most recently used. The worker has evicted the least recently used images that
     * exceed the capacity of its image cache, so they are removed here too.
     */
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

    /** Whether [spec] allows this machine's type and, for a spot instance, the use of spot instances. */
    fun isAllowedFor(spec: JobSpec): Boolean = (spec.spot || !spot) && (spec.types == null || type.name in spec.types)

    companion object {
        /** The tolerance for rounding errors in sums of cores, GB or GPUs. */
        const val EPSILON = 1e-6
        private const val AVOID_JOB_MS = 15_000L

        /** The number of consecutive lost responses after which [losesResponses] is true. */
        private const val LOST_RESPONSES_LIMIT = 2
    }
}
