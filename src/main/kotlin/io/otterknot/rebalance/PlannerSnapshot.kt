package io.otterknot.rebalance

import io.otterknot.wire.JobSpec

/** How many tasks run in the partition. */
data class RunningTaskCounts(val total: Int, val byTeam: Map<String, Int>, val byJob: Map<String, Int>)

/** Everything that a plan for one partition depends on. */
data class PlannerSnapshot(
    val zone: String,
    val cluster: ClusterPressure,
    /** Jobs with waiting tasks, the most urgent first. */
    val waiting: List<WaitingJob>,
    /** The examined machines: all draining ones, and a sample of the others. */
    val machines: List<MachineSnapshot>,
    /** The sampled share of the machines in use, 0 to 1. */
    val sampledShare: Double,
    val running: RunningTaskCounts,
    val open: OpenMoves,
    /** Zones whose partition has a leader and offers a machine type that the job may use. */
    val targets: (JobSpec) -> List<String>,
    /** Core-seconds of work that stops may throw away now. */
    val lostWorkBudgetCoreS: Double,
)
