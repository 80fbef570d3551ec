package io.otterknot.rebalance

import io.otterknot.wire.JobSpec

/** Number of active tasks in the partition. */
data class RunningTaskCounts(val total: Int, val byTeam: Map<String, Int>, val byJob: Map<String, Int>)

/** All input of a plan for one partition. */
data class PlannerSnapshot(
    val zone: String,
    val cluster: ClusterPressure,
    /** Jobs with waiting tasks: those within a guarantee first, then the others, each with the most urgent first. */
    val waiting: List<WaitingJob>,
    /** The examined machines: draining machines, and a sample of the others if capacity may be freed by stops. */
    val machines: List<MachineSnapshot>,
    /** Sampled share of the machines, 0 to 1. */
    val sampledShare: Double,
    val running: RunningTaskCounts,
    val open: OpenMoves,
    /** Returns the zones that have a leader and offer a machine type that the job may use. */
    val targets: (JobSpec) -> List<String>,
    /** Core-seconds of work that stops may lose now. */
    val lostWorkBudgetCoreS: Double,
)
