package io.otterknot.partition

import io.otterknot.scheduling.ServiceLevelObjectives
import kotlin.random.Random

/**
 * What placement in a partition depends on in addition to the partition's own state.
 *
 * @property wallTimeOf converts a time of the monotonic clock to wall-clock time, both in milliseconds.
 */
class SchedulingInputs(
    val objectives: ServiceLevelObjectives,
    val random: Random,
    val wallTimeOf: (monotonicMs: Long) -> Long,
)
