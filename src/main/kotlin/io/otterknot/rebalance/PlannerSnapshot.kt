package io.otterknot.rebalance

import io.otterknot.wire.JobSpec

/** How many tasks run in the partition. */
data class RunningTaskCounts(val total: Int, val byTeam: Map<String, Int>, val byJob: Map<String, Int>)

/** Everything that a plan for one partition depends on. */
data class PlannerSnapshot(
    val zone: String,
    val cluster: ClusterPressure,
    /** What waits, the most urgent first. */
    val waiting: List<WaitingJob>,
    /** Machines that were looked at; all of those that are being emptied, and a sample of the others. */
    val machines: List<MachineSnapshot>,
    /** Of the machines in use, the share that was drawn. */
    val sampledShare: Double,
    val running: RunningTaskCounts,
    val open: OpenMoves,
    /** Partitions that have an owner and offer a machine type that the job may use. */
    val targets: (JobSpec) -> List<String>,
    /** Core-seconds that may be thrown away now. */
    val lostWorkBudgetCoreS: Double,
)
