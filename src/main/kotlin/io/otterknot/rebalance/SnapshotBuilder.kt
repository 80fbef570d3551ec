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
 * Takes a [PlannerSnapshot] of a partition. Its cost is bounded by the settings wherever it is not that of the work
 * itself: so many waiting jobs are looked at, and so many machines, drawn anew for each plan.
 */
class SnapshotBuilder(
    private val settings: LoadSpreadSettings,
    private val targets: (JobSpec) -> List<String>,
    private val random: Random,
) {
    /** How many jobs, machines and attempts have been looked at; tests tell the cost of a plan by it. */
    var looks = 0L
        private set

    fun take(
        partition: Partition,
        cluster: ClusterPressure,
        history: MoveHistory,
        open: OpenMoves,
        lostWorkLeft: Double,
        now: Long,
        wallMs: Long,
    ): PlannerSnapshot {
        val inOrder = partition.pendingJobsInOrder(now)
        looks += inOrder.size
        history.look(inOrder, now, wallMs)
        val waiting = examined(inOrder).map { waiting(partition, it, history, now, wallMs) }
        val wantsRoom = settings.guarantees && waiting.any { it.covered && it.startable > 0 }
        val machines = machines(partition, wantsRoom).map { machine(it, history, now) }
        val running = if (machines.isEmpty()) emptyList() else running(partition)
        return PlannerSnapshot(
            zone = partition.zone,
            cluster = cluster,
            waiting = waiting,
            machines = machines,
            sampledShare = minOf(1.0, settings.sampledMachines.toDouble() / maxOf(1, partition.machines.size)),
            runningTasks = running.sumOf { it.active.size },
            runningByTeam = running.groupBy { it.spec.team }.mapValues { (_, jobs) -> jobs.sumOf { it.active.size } },
            runningByJob = running.associate { it.id to it.active.size },
            open = open,
            targets = targets,
            lostWorkLeft = lostWorkLeft,
        )
    }

    /** The jobs that a plan looks at: those within a guarantee, and the most urgent others. */
    private fun examined(inOrder: List<PartitionJob>): List<PartitionJob> {
        val covered = inOrder.filter { it.covered }.take(settings.examinedJobs)
        val others = inOrder.filterNot { it.covered }.take(settings.examinedJobs)
        return covered + others
    }

    private fun waiting(partition: Partition, job: PartitionJob, history: MoveHistory, now: Long, wallMs: Long) =
        WaitingJob(
            spec = job.spec,
            waiting = job.pendingCount,
            startable = if (job.retryAtMs >
                now
            ) {
                0
            } else {
                minOf(job.pendingCount, maxOf(0, partition.startableTasks(job)))
            },
            covered = job.covered,
            waitedS = (wallMs - job.readyMs) / 1000.0,
            allWaits = job.allTasksPending,
            arrivedS = history.arrivedS(job.id, now),
        )

    /** Machines that are being emptied; and, where some task is to get room, a sample of those in use. */
    private fun machines(partition: Partition, wantsRoom: Boolean): List<Machine> {
        val draining = if (settings.drains) partition.machines.filter(::isEmptied) else emptyList()
        if (!wantsRoom) return draining
        val usable = partition.machines.filter { it.acceptsTasks }
        return draining + sample(usable)
    }

    /** A machine under a notice is left to those that empty it within the time of the notice. */
    private fun isEmptied(machine: Machine): Boolean =
        machine.draining && !machine.hasSpotNotice && !machine.leaseExpired && machine.attempts.isNotEmpty()

    private fun sample(machines: List<Machine>): List<Machine> {
        if (machines.size <= settings.sampledMachines) return machines
        val first = random.nextInt(machines.size)
        return List(settings.sampledMachines) { machines[(first + it) % machines.size] }
    }

    private fun machine(machine: Machine, history: MoveHistory, now: Long): MachineState {
        looks += 1 + machine.attempts.size
        val used = Resources(machine.usedCores, machine.usedMemory, machine.usedCards)
        return MachineState(
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
            isBusyOrKept =
            attempt.stopping || attempt.protectedFromPreemption || attempt.phase == AttemptPhase.SAVING ||
                job.finished,
            coolsDown = history.coolsDown(job.id, attempt.task, now, cooldownMs),
        )
    }

    private fun running(partition: Partition): List<PartitionJob> {
        looks += partition.jobs.size
        return partition.jobs.filter { it.active.isNotEmpty() }
    }
}
