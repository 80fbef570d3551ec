package io.otterknot.scheduling

/**
 * When tasks may move to a partition that is hardly less loaded: nothing waits for long while another partition has room,
 * however little the mean loads differ.
 */
object LongWaitPolicy {
    private const val LONG_WAIT_S = 45.0
    private const val MAX_MEAN_WITH_ROOM = 0.97

    /** By how much the mean loads still have to differ. */
    const val MIN_MEAN_GAP = 0.02

    /** Whether tasks that have waited for [waitedS] seconds may move to a partition whose mean load is [targetMean]. */
    fun mayMove(waitedS: Double, targetMean: Double): Boolean = waitedS > LONG_WAIT_S && targetMean < MAX_MEAN_WITH_ROOM
}
