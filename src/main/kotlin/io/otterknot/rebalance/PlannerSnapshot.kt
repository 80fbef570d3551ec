package io.otterknot.rebalance

import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority

/** Some waiting tasks of a job, as the planner sees them. */
data class WaitingJob(
    val spec: JobSpec,
    val waiting: Int,
    /** How many of them the team's limit and the job's own spread allow now. */
    val startable: Int,
    val covered: Boolean,
    val waitedS: Double,
    /** None of it is on a machine or may be, so that it can be moved as a whole. */
    val isEntirelyPending: Boolean,
    /** How long ago some of its tasks were last handed over to this partition; null: never. */
    val secondsSinceArrival: Double? = null,
) {
    val team: String get() = spec.team
    val waitingCores: Double get() = waiting * spec.cores
}

/** A task that runs, or is about to, as the planner sees it. */
data class RunningTask(
    val spec: JobSpec,
    val task: Int,
    val attempt: Long,
    val covered: Boolean,
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

/** What is under way of earlier plans. */
data class OpenMoves(
    val stops: Int = 0,
    val stopsByTeam: Map<String, Int> = emptyMap(),
    val stopsByJob: Map<String, Int> = emptyMap(),
    val stoppingCoresByTeam: Map<String, Double> = emptyMap(),
    /** Tasks being stopped for each job that is to get the room. */
    val stopsForJob: Map<String, Int> = emptyMap(),
    val reassignmentInProgress: Boolean = false,
)

/** All that a plan for one partition rests on. */
class PlannerSnapshot(
    val zone: String,
    val cluster: ClusterPressure,
    /** What waits, the most urgent first. */
    val waiting: List<WaitingJob>,
    /** Machines that were looked at; all of those that are being emptied, and a sample of the others. */
    val machines: List<MachineSnapshot>,
    /** Of the machines in use, the share that was drawn. */
    val sampledShare: Double,
    val runningTasks: Int,
    val runningByTeam: Map<String, Int>,
    val runningByJob: Map<String, Int>,
    val open: OpenMoves,
    /** Partitions that have an owner and offer a machine type that the job may use. */
    val targets: (JobSpec) -> List<String>,
    /** Core-seconds that may be thrown away now. */
    val lostWorkBudgetCoreS: Double,
)
