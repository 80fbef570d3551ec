package io.otterknot.rebalance

import io.otterknot.scheduling.Resources

/** What one team uses of a partition, and what waits of it there. */
data class TeamPressure(
    val used: Resources = Resources.NONE,
    val waitingCores: Double = 0.0,
    /** Since when its oldest waiting task could run, by the time of day; null: nothing waits. */
    val oldestReadyMs: Long? = null,
)
