package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings
import io.otterknot.partition.Partition
import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.HeartbeatSpace
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec
import kotlin.random.Random

/**
 * Builds the [PlannerSnapshot] of a partition. The settings limit how many waiting jobs and machines are examined; a
 * new sample of machines is drawn for each plan.
 */
class SnapshotBuilder(
    private val settings: LoadSpreadSettings,
    private val targets: (JobSpec) -> List<String>,
    private val random: Random,
) {
    /** Number of jobs, machines and attempts examined so far; tests use it to measure the cost of a plan. */
    var examinedItems = 0L
        private set

    fun build(
        partition: Partition,
        cluster: ClusterPressure,
        history: MoveHistory,
        open: OpenMoves,
        lostWorkBudgetCoreS: Double,
        now: Long,
        wallMs: Long,
    ): PlannerSnapshot {
        val byUrgency = partition.pendingJobsInOrder(now)
        examinedItems += byUrgency.size
        history.recordArrivals(byUrgency, now, wallMs)
        val machineCores = partition.load.meanMachineCores()
        val waiting = examined(byUrgency).map { waiting(partition, it, machineCores, history, now, wallMs) }
        val needsStops = settings.guarantees && waiting.any { it.isWithinGuarantee && it.startable > 0 }
        val machines = machines(partition, needsStops).map { machine(it, history, now) }
        val running = if (machines.isEmpty()) emptyList() else running(partition)
        return PlannerSnapshot(
            zone = partition.zone,
            cluster = cluster,
            waiting = waiting,
            machines = machines,
            sampledShare = minOf(1.0, settings.sampledMachines.toDouble() / maxOf(1, partition.machines.size)),
            running = countTasks(running),
            open = open,
            targets = targets,
            lostWorkBudgetCoreS = lostWorkBudgetCoreS,
        )
    }

    /** Returns the jobs to examine: the most urgent within a guarantee, then the most urgent others. */
    private fun examined(byUrgency: List<PartitionJob>): List<PartitionJob> {
        val withinGuarantee = byUrgency.filter { it.isWithinGuarantee }.take(settings.examinedJobs)
        val others = byUrgency.filterNot { it.isWithinGuarantee }.take(settings.examinedJobs)
        return withinGuarantee + others
    }

    private fun waiting(
        partition: Partition,
        job: PartitionJob,
        machineCores: Double,
        history: MoveHistory,
        now: Long,
        wallMs: Long,
    ) = WaitingJob(
        spec = job.spec,
        waiting = job.pendingCount,
        taskCores = HeartbeatSpace.equivalentCores(job.spec, machineCores),
        startable = startableTasks(partition, job, now),
        isWithinGuarantee = job.isWithinGuarantee,
        waitedS = (wallMs - job.readyMs) / 1000.0,
        isEntirelyPending = job.allTasksPending,
        secondsSinceArrival = history.secondsSinceArrival(job.id, now),
    )

    private fun startableTasks(partition: Partition, job: PartitionJob, now: Long): Int {
        val isBackingOff = job.retryAtMs > now
        return if (isBackingOff) 0 else minOf(job.pendingCount, maxOf(0, partition.startableTasks(job)))
    }

    /** Returns draining machines, and a sample of those that accept tasks if capacity may be freed by stops. */
    private fun machines(partition: Partition, needsStops: Boolean): List<Machine> {
        val draining = if (settings.drains) partition.machines.filter(::needsDrain) else emptyList()
        if (!needsStops) return draining
        val usable = partition.machines.filter { it.acceptsTasks }
        return draining + sample(usable)
    }

    /**
     * Whether load spread may stop the tasks of [machine] to drain it. Machines with a spot notice are excluded, since
     * the partition drains them before the notice expires.
     */
    private fun needsDrain(machine: Machine): Boolean =
        machine.quarantined && !machine.hasSpotNotice && !machine.leaseExpired && machine.attempts.isNotEmpty()

    private fun sample(machines: List<Machine>): List<Machine> {
        if (machines.size <= settings.sampledMachines) return machines
        val first = random.nextInt(machines.size)
        return List(settings.sampledMachines) { machines[(first + it) % machines.size] }
    }

    private fun machine(machine: Machine, history: MoveHistory, now: Long): MachineSnapshot {
        examinedItems += 1 + machine.attempts.size
        val free = machine.resources.free()
        return MachineSnapshot(
            id = machine.id,
            type = machine.type.name,
            spot = machine.spot,
            free = Resources(free.cores, free.memoryGb, free.gpus),
            fetchGbPerS = machine.type.fetchGbPerS,
            hasImage = { it in machine.images },
            tasks = machine.attempts.values.map { task(it, history, now) },
            draining = needsDrain(machine),
            slowness = maxOf(1.0, machine.slowness.ratio),
            freeStatusBytes = free.statusBytes,
            freeSmallTaskBytes = free.smallTaskBytes,
        )
    }

    private fun task(attempt: Attempt, history: MoveHistory, now: Long): RunningTask {
        val job = attempt.job
        val runs = attempt.phase == AttemptPhase.RUNNING
        val cooldownMs = (settings.taskCooldownS * 1000).toLong()
        return RunningTask(
            spec = job.spec,
            task = attempt.task,
            attempt = attempt.id,
            isWithinGuarantee = job.isWithinGuarantee,
            elapsedS = if (runs) (now - attempt.phaseSinceMs) / 1000.0 else 0.0,
            remainingS = maxOf(0.0, attempt.expectedRemainingMs(now) / 1000),
            isExemptFromStop = isExemptFromStop(attempt),
            isCoolingDown = history.isCoolingDown(job.id, attempt.task, now, cooldownMs),
        )
    }

    private fun isExemptFromStop(attempt: Attempt): Boolean {
        val isEnding = attempt.stopping || attempt.phase == AttemptPhase.SAVING || attempt.job.finished
        return isEnding || attempt.protectedFromPreemption
    }

    private fun countTasks(running: List<PartitionJob>) = RunningTaskCounts(
        total = running.sumOf { it.active.size },
        byTeam = running.groupBy { it.spec.team }.mapValues { (_, jobs) -> jobs.sumOf { it.active.size } },
        byJob = running.associate { it.id to it.active.size },
    )

    private fun running(partition: Partition): List<PartitionJob> {
        examinedItems += partition.jobs.size
        return partition.jobs.filter { it.active.isNotEmpty() }
    }
}
