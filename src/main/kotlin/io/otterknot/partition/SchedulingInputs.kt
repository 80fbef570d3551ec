package io.otterknot.partition

import io.otterknot.scheduling.ServiceLevelObjectives
import kotlin.random.Random

/**
 * What placement in a partition depends on besides the partition's own state.
 *
 * @property wallTimeOf the time of day for a time of the steady clock, both in milliseconds.
 */
class SchedulingInputs(
    val objectives: ServiceLevelObjectives,
    val random: Random,
    val wallTimeOf: (steadyMs: Long) -> Long,
)
