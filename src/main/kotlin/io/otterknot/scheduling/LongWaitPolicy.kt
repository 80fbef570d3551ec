package io.otterknot.scheduling

/**
 * Decides when tasks that have waited for long may move to a partition that is only slightly less loaded, so that no
 * task waits for long while another partition has free capacity.
 */
object LongWaitPolicy {
    private const val LONG_WAIT_S = 45.0
    private const val MAX_TARGET_MEAN = 0.97

    /** The minimum difference of the mean loads that is still required for such a move. */
    const val MIN_MEAN_GAP = 0.02

    /** Whether tasks that have waited for [waitedS] seconds may move to a partition whose mean load is [targetMean]. */
    fun mayMove(waitedS: Double, targetMean: Double): Boolean = waitedS > LONG_WAIT_S && targetMean < MAX_TARGET_MEAN
}
