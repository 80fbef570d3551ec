package io.otterknot.rebalance

import io.otterknot.scheduling.Resources

/** The usage and waiting work of one team in a partition. */
data class TeamPressure(
    val used: Resources = Resources.NONE,
    val waitingCores: Double = 0.0,
    /** Wall-clock time since which its oldest waiting task has been ready, or null if none waits. */
    val oldestReadyMs: Long? = null,
)
