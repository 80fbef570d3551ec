package io.otterknot.scheduling

/** Nothing waits for long while another partition has room, however little the means differ. */
object LongWait {
    private const val LONG_S = 45.0
    private const val ROOMY = 0.97

    /** By so much at the least the means have to differ then. */
    const val LEAST_GAP = 0.02

    /** Whether what has waited for [waitedS] may move to a partition of the [mean], though that is hardly lower. */
    fun mayMove(waitedS: Double, mean: Double): Boolean = waitedS > LONG_S && mean < ROOMY
}
