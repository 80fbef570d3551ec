package io.otterknot.rebalance

import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority

/** The state of a task that is running or assigned to a machine, on which a plan is based. */
data class RunningTask(
    val spec: JobSpec,
    val task: Int,
    val attempt: Long,
    val isWithinGuarantee: Boolean,
    val elapsedS: Double,
    val remainingS: Double,
    /** Whether it must not be stopped: it is stopping, saving or protected from preemption, or its job has finished. */
    val isExemptFromStop: Boolean,
    /** Whether the task was stopped less than the cooldown ago. */
    val isCoolingDown: Boolean,
) {
    val team: String get() = spec.team
    val priority: Priority get() = spec.priority
    val stopCost: StopCost get() = StopCost(elapsedS, spec.checkpointS, spec.saveS)

    /** Core-seconds of work lost if the task is stopped. */
    val lostCoreS: Double get() = stopCost.seconds * spec.cores
}
