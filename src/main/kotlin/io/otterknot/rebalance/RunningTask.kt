package io.otterknot.rebalance

import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority

/** A task that runs, or is about to, as the planner sees it. */
data class RunningTask(
    val spec: JobSpec,
    val task: Int,
    val attempt: Long,
    val isWithinGuarantee: Boolean,
    val elapsedS: Double,
    val remainingS: Double,
    /** Told to stop, saving, or kept for some reason: it is left alone. */
    val isExemptFromStop: Boolean,
    /** It was stopped a while ago. */
    val isCoolingDown: Boolean,
) {
    val team: String get() = spec.team
    val priority: Priority get() = spec.priority
    val stopCost: StopCost get() = StopCost(elapsedS, spec.checkpointS, spec.saveS)

    /** Core-seconds that stopping it throws away. */
    val lostCoreS: Double get() = stopCost.seconds * spec.cores
}
