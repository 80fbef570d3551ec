package io.otterknot.rebalance

import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec

/** A machine, as the planner sees it. */
data class MachineSnapshot(
    val id: String,
    val type: String,
    val spot: Boolean,
    val free: Resources,
    val fetchGbPerS: Double,
    val hasImage: (String) -> Boolean,
    val tasks: List<RunningTask>,
    /** It takes no new work, since it is slow or faulty; its tasks are to go elsewhere. */
    val draining: Boolean = false,
    /** How many times as long as elsewhere tasks take here. */
    val slowness: Double = 1.0,
) {
    fun allows(spec: JobSpec): Boolean = (spec.spot || !spot) && (spec.types == null || type in spec.types)

    /** The move that stops [task], which is on this machine, in the partition of [zone]. */
    fun stop(task: RunningTask, zone: String, reason: MoveReason, gainS: Double, beneficiary: String?) = Move.Stop(
        zone = zone,
        team = task.team,
        job = task.spec.id,
        reason = reason,
        gainS = gainS,
        task = task.task,
        attempt = task.attempt,
        machine = id,
        cores = task.spec.cores,
        lostCoreS = task.lostCoreS,
        beneficiary = beneficiary,
    )
}
