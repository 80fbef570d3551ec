package io.otterknot.leadership

/** What this controller does about a partition that it does not lead. */
internal enum class AcquisitionDecision {
    WAIT,

    /** Nobody leads the partition, or only an earlier process of this controller's label, which is dead. */
    ACQUIRE,

    /** Acquire it although another controller leads it, which does not answer its workers. */
    FORCE_TAKEOVER,
}

/**
 * Decides whose turn it is to acquire a partition. Does no I/O and reads no clock. Nothing that keeps the partitions
 * safe rests on it: the transaction of an acquisition is guarded by the version of the leader record, and a leader that
 * is taken over stops by its own fence.
 */
internal class AcquisitionPolicy(
    private val settings: LeadershipSettings,
    private val failureDetector: LeaderFailureDetector,
) {
    /** Since when the replica has shown no leader, by zone. */
    private val leaderlessSinceMs = HashMap<String, Long>()

    /** When this controller last asked the leader of a zone to transfer it. */
    private val lastTransferRequestMs = HashMap<String, Long>()

    /** When this controller last transferred a zone to the one that had asked for it. */
    private val lastTransferMs = HashMap<String, Long>()

    /**
     * @param leader the label in the partition's leader record; null if nobody leads it
     * @param ledPartitionCount how many partitions this controller leads; the fewer, the sooner it acquires another
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
            // This process did not put the record, so its predecessor did: only one process of a label is started.
            leader == settings.label -> AcquisitionDecision.ACQUIRE

            failureDetector.isLeaderFailed(zone, ledPartitionCount, nowMs) -> AcquisitionDecision.FORCE_TAKEOVER

            else -> AcquisitionDecision.WAIT
        }
    }

    fun acquired(zone: String) {
        leaderlessSinceMs.remove(zone)
    }

    /** Its leader is asked to transfer [zone]; should it do so, this controller need not wait for those before it. */
    fun transferRequested(zone: String, nowMs: Long) {
        lastTransferRequestMs[zone] = nowMs
    }

    /** This controller has transferred [zone], and leaves it to the one that asked. */
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

    private fun isRecent(eventMs: Long?, nowMs: Long): Boolean = eventMs != null && nowMs - eventMs < TRANSFER_MS

    private companion object {
        /** For how long a partition that is being transferred is left to the controller that asked for it. */
        const val TRANSFER_MS = 4_000L
        const val DELAY_PER_RANK_MS = 3_000L
        const val DELAY_PER_LED_PARTITION_MS = 1_000L
    }
}
