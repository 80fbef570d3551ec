package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings
import io.otterknot.partition.Partition
import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec
import kotlin.random.Random

/**
 * Builds the [PlannerSnapshot] of a partition. The settings bound how many waiting jobs and how many machines it
 * examines; the machines are a sample drawn anew for each plan.
 */
class SnapshotBuilder(
    private val settings: LoadSpreadSettings,
    private val targets: (JobSpec) -> List<String>,
    private val random: Random,
) {
    /** Jobs, machines and attempts examined so far; tests measure the cost of a plan by it. */
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
        val inOrder = partition.pendingJobsInOrder(now)
        examinedItems += inOrder.size
        history.recordArrivals(inOrder, now, wallMs)
        val waiting = examined(inOrder).map { waiting(partition, it, history, now, wallMs) }
        val needsStops = settings.guarantees && waiting.any { it.covered && it.startable > 0 }
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

    /** The jobs that a plan examines: those within a guarantee, and the most urgent others. */
    private fun examined(inOrder: List<PartitionJob>): List<PartitionJob> {
        val covered = inOrder.filter { it.covered }.take(settings.examinedJobs)
        val others = inOrder.filterNot { it.covered }.take(settings.examinedJobs)
        return covered + others
    }

    private fun waiting(partition: Partition, job: PartitionJob, history: MoveHistory, now: Long, wallMs: Long) =
        WaitingJob(
            spec = job.spec,
            waiting = job.pendingCount,
            startable = startableTasks(partition, job, now),
            covered = job.covered,
            waitedS = (wallMs - job.readyMs) / 1000.0,
            isEntirelyPending = job.allTasksPending,
            secondsSinceArrival = history.secondsSinceArrival(job.id, now),
        )

    private fun startableTasks(partition: Partition, job: PartitionJob, now: Long): Int {
        val isBackingOff = job.retryAtMs > now
        return if (isBackingOff) 0 else minOf(job.pendingCount, maxOf(0, partition.startableTasks(job)))
    }

    /** Draining machines, and a sample of those in use if a task is to get capacity by stops. */
    private fun machines(partition: Partition, needsStops: Boolean): List<Machine> {
        val draining = if (settings.drains) partition.machines.filter(::isEmptied) else emptyList()
        if (!needsStops) return draining
        val usable = partition.machines.filter { it.acceptsTasks }
        return draining + sample(usable)
    }

    /** A machine with a spot notice is emptied by the partition itself, within the time of the notice. */
    private fun isEmptied(machine: Machine): Boolean =
        machine.quarantined && !machine.hasSpotNotice && !machine.leaseExpired && machine.attempts.isNotEmpty()

    private fun sample(machines: List<Machine>): List<Machine> {
        if (machines.size <= settings.sampledMachines) return machines
        val first = random.nextInt(machines.size)
        return List(settings.sampledMachines) { machines[(first + it) % machines.size] }
    }

    private fun machine(machine: Machine, history: MoveHistory, now: Long): MachineSnapshot {
        examinedItems += 1 + machine.attempts.size
        val used = Resources(machine.usedCores, machine.usedMemory, machine.usedGpus)
        return MachineSnapshot(
            id = machine.id,
            type = machine.type.name,
            spot = machine.spot,
            free = Resources.of(machine.type) - used,
            fetchGbPerS = machine.type.fetchGbPerS,
            hasImage = { it in machine.images },
            tasks = machine.attempts.values.map { task(it, history, now) },
            draining = isEmptied(machine),
            slowness = maxOf(1.0, machine.slowness.ratio),
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
            covered = job.covered,
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
