package io.otterknot.rebalance

import io.otterknot.scheduling.HeartbeatSpace
import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec

/** The state of a machine on which a plan is based. */
data class MachineSnapshot(
    val id: String,
    val type: String,
    val spot: Boolean,
    val free: Resources,
    val fetchGbPerS: Double,
    val hasImage: (String) -> Boolean,
    val tasks: List<RunningTask>,
    /** Whether the machine accepts no new tasks because it is slow or faulty; its tasks may be stopped to move them. */
    val draining: Boolean = false,
    /** Ratio of task run times here to those on other machines. */
    val slowness: Double = 1.0,
    /** Bytes for statuses that the machine's heartbeats have left, see [HeartbeatSpace]. */
    val freeStatusBytes: Double = HeartbeatSpace.CAPACITY,
    /** The part of [freeStatusBytes] that small tasks may use. */
    val freeSmallTaskBytes: Double = HeartbeatSpace.CAPACITY,
) {
    fun allows(spec: JobSpec): Boolean = (spec.spot || !spot) && (spec.types == null || type in spec.types)

    /** Returns the move that stops [task] on this machine, in the partition of [zone]. */
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
