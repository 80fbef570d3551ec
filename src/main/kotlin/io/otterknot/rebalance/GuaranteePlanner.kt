package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings
import io.otterknot.scheduling.Resources

/**
 * Decides which running tasks are stopped so that a team gets its guarantee. Only work of teams that use more than
 * theirs is stopped, never more of it than the excess, and nothing that is itself within a guarantee. Work within a
 * guarantee is placed before all other, so room that comes by itself goes to it; a task is stopped only where that
 * would take too long.
 */
internal class GuaranteePlanner(private val settings: LoadSpreadSettings) {
    private val weights = CostWeights(settings)

    fun plan(snapshot: PlannerSnapshot, limits: StopLimits): MovePlan {
        val moves = ArrayList<Move>()
        val refusals = ArrayList<MoveRefusal>()
        val capacities = snapshot.machines.filterNot { it.draining }.map(::MachineCapacity)
        val coresFreedWithinMargin = coresFreedWithinMargin(snapshot)
        var coresOfEarlierJobs = 0.0
        for (job in snapshot.waiting) {
            if (!job.covered || job.startable <= 0) continue
            coresOfEarlierJobs += job.startable * job.spec.cores
            val refused = refusalReason(job, coresOfEarlierJobs <= coresFreedWithinMargin)
            if (refused != null) {
                refusals.add(MoveRefusal(job.team, job.spec.id, refused))
                continue
            }
            val stopsInProgress = snapshot.open.stopsForJob[job.spec.id] ?: 0
            repeat(job.startable - stopsInProgress) {
                val refusal = planStops(job, capacities, limits, snapshot, moves) ?: return@repeat
                refusals.add(MoveRefusal(job.team, job.spec.id, refusal))
                return MovePlan(moves, refusals)
            }
        }
        return MovePlan(moves, refusals)
    }

    /** [capacityExpectedSoon]: room for all that waits within guarantees up to this job comes free by itself. */
    private fun refusalReason(job: WaitingJob, capacityExpectedSoon: Boolean): RefusalReason? = when {
        job.waitedS < settings.patienceS -> RefusalReason.WAIT_TOO_SHORT
        capacityExpectedSoon -> RefusalReason.CAPACITY_EXPECTED_SOON
        else -> null
    }

    /** How many cores come free in the partition within the margin, by the sample: work within a guarantee is first. */
    private fun coresFreedWithinMargin(snapshot: PlannerSnapshot): Double = snapshot.machines
        .filterNot { it.draining }
        .flatMap { it.tasks }
        .filter { it.remainingS <= settings.marginS }
        .sumOf { it.spec.cores } / snapshot.sampledShare

    /** Chooses where one task of [job] gets room; the reason if nowhere. */
    private fun planStops(
        job: WaitingJob,
        capacities: List<MachineCapacity>,
        limits: StopLimits,
        snapshot: PlannerSnapshot,
        moves: MutableList<Move>,
    ): RefusalReason? {
        val best = capacities.filter { it.machine.allows(job.spec) }
            .mapNotNull { room -> room.stopCandidate(job, limits) }
            .minWithOrNull(compareBy<StopCandidate> { it.cost }.thenBy { it.room.machine.id })
            ?: return RefusalReason.NO_STOPPABLE_TASKS
        limits.refusalReason(best.tasks)?.let { return it }
        limits.recordStops(best.tasks)
        best.room.take(best.tasks, job)
        val gainS = best.tasks.minOf { it.remainingS }
        best.tasks.mapTo(moves) {
            best.room.machine.stop(it, snapshot.zone, MoveReason.GUARANTEE, gainS, beneficiary = job.spec.id)
        }
        return null
    }

    private class StopCandidate(val room: MachineCapacity, val tasks: List<RunningTask>, val cost: Double)

    /** What a machine has room for while one plan is made. */
    private inner class MachineCapacity(val machine: MachineSnapshot) {
        private var free = machine.free
        private val stopped = HashSet<Long>()

        /** The tasks to stop so that one of [job] fits, those that lose least first; null: not even then would it. */
        fun stopCandidate(job: WaitingJob, limits: StopLimits): StopCandidate? {
            val needed = Resources.of(job.spec)
            var room = free
            val chosen = ArrayList<RunningTask>()
            val excess = HashMap<String, Double>()
            for (task in machine.tasks.sortedWith(LEAST_URGENT_FIRST).filter { isStoppable(it, job) }) {
                if (room.covers(needed)) break
                val left = excess.getOrPut(task.team) { limits.remainingExcessCores(task.team) }
                if (left < task.spec.cores) continue
                excess[task.team] = left - task.spec.cores
                room += Resources.of(task.spec)
                chosen.add(task)
            }
            if (chosen.isEmpty() || !room.covers(needed)) return null
            return StopCandidate(this, chosen, cost(job, chosen))
        }

        private fun isStoppable(task: RunningTask, job: WaitingJob): Boolean = task.team != job.team &&
            !task.covered && !task.isExemptFromStop && !task.isCoolingDown && task.attempt !in stopped &&
            task.remainingS >= settings.leastRemainingS &&
            (settings.anyPriority || task.priority >= job.spec.priority)

        private fun cost(job: WaitingJob, chosen: List<RunningTask>): Double {
            val image = ImageCost(machine.hasImage(job.spec.image), job.spec.imageGb, machine.fetchGbPerS)
            return chosen.sumOf { it.lostCoreS } * weights.lostWork + image.seconds * job.spec.cores * weights.fetch
        }

        /** [tasks] leave, and one of [job] takes their room. */
        fun take(tasks: List<RunningTask>, job: WaitingJob) {
            for (task in tasks) {
                free += Resources.of(task.spec)
                stopped.add(task.attempt)
            }
            free -= Resources.of(job.spec)
        }
    }

    private companion object {
        /** The least urgent first, then what loses least. */
        val LEAST_URGENT_FIRST =
            compareByDescending<RunningTask> { it.priority }.thenBy { it.lostCoreS }.thenBy { it.attempt }
    }
}
