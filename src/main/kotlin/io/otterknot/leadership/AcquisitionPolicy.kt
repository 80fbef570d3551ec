package io.otterknot.leadership

/** What this controller does about a partition that it does not lead. */
internal enum class AcquisitionDecision {
    WAIT,

    /** The partition has no leader, or its record has this controller's label although no process acts under it. */
    ACQUIRE,

    /** Another controller leads the partition but does not answer its workers. */
    FORCE_TAKEOVER,
}

/**
 * Decides whether it is this controller's turn to acquire a partition. Does no I/O and reads no clock. Safety does not
 * depend on the decisions: the transaction of an acquisition is conditional on the version of the leader record, and a
 * leader whose partition is taken over stops acting when its own fence expires.
 */
internal class AcquisitionPolicy(
    private val settings: LeadershipSettings,
    private val failureDetector: LeaderFailureDetector,
) {
    /** Since when the replica has shown no leader of a zone, by zone. */
    private val leaderlessSinceMs = HashMap<String, Long>()

    /** When this controller last requested the transfer of a zone from its leader, by zone. */
    private val lastTransferRequestMs = HashMap<String, Long>()

    /** When this controller last transferred a zone to the controller that had requested it, by zone. */
    private val lastTransferMs = HashMap<String, Long>()

    /**
     * Returns what this controller does now about the partition of [zone].
     *
     * @param leader the label in the partition's leader record, or null if the partition has no leader
     * @param ledPartitionCount how many partitions this controller leads; each one delays the acquisition of another,
     *   unless this controller is the first in the order for a partition without a leader
     */
    fun decide(zone: String, leader: String?, ledPartitionCount: Int, nowMs: Long): AcquisitionDecision {
        if (leader == null) {
            return if (isOurTurn(zone, ledPartitionCount, nowMs)) {
                AcquisitionDecision.ACQUIRE
            } else {
                AcquisitionDecision.WAIT
            }
        }
        leaderlessSinceMs.remove(zone)
        return when {
            // No process acts under this record. An earlier process with this label wrote it (only one runs at a time),
            // or this process did and does not lead the partition under it.
            leader == settings.label -> AcquisitionDecision.ACQUIRE

            failureDetector.isLeaderFailed(zone, ledPartitionCount, nowMs) -> AcquisitionDecision.FORCE_TAKEOVER

            else -> AcquisitionDecision.WAIT
        }
    }

    fun acquired(zone: String) {
        leaderlessSinceMs.remove(zone)
    }

    /**
     * Records that this controller requested [zone] from its leader. Once the leader has transferred it, this
     * controller acquires it without waiting for the controllers that rank before it.
     */
    fun transferRequested(zone: String, nowMs: Long) {
        lastTransferRequestMs[zone] = nowMs
    }

    /** Records that this controller transferred [zone], so that it leaves the partition to the requester. */
    fun transferred(zone: String, nowMs: Long) {
        lastTransferMs[zone] = nowMs
    }

    private fun isOurTurn(zone: String, ledPartitionCount: Int, nowMs: Long): Boolean {
        if (isRecent(lastTransferMs[zone], nowMs)) return false
        val sinceMs = leaderlessSinceMs.getOrPut(zone) { nowMs }
        val rank = if (isRecent(lastTransferRequestMs[zone], nowMs)) 0 else settings.acquisitionRank(zone)
        val loadDelayMs = if (rank > 0) ledPartitionCount * DELAY_PER_LED_PARTITION_MS else 0
        return nowMs - sinceMs >= rank * DELAY_PER_RANK_MS + loadDelayMs
    }

    private fun isRecent(eventMs: Long?, nowMs: Long): Boolean =
        eventMs != null && nowMs - eventMs < TRANSFER_RESERVATION_MS

    private companion object {
        /** How long a partition that is being transferred is reserved for the controller that requested it. */
        const val TRANSFER_RESERVATION_MS = 4_000L
        const val DELAY_PER_RANK_MS = 3_000L
        const val DELAY_PER_LED_PARTITION_MS = 1_000L
    }
}
