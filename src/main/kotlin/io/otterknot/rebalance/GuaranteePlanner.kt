package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings

/**
 * Chooses the running tasks that are stopped so that a team gets its guaranteed quota. Only tasks of teams above their
 * own guarantee are stopped, for each team at most as many cores as its excess, and never a task within a guarantee.
 * The scheduler places work within a guarantee first, so this work also gets the capacity that completions free; tasks
 * are stopped only where waiting for completions would take too long.
 */
internal class GuaranteePlanner(private val settings: LoadSpreadSettings) {
    private val weights = CostWeights(settings)

    fun plan(snapshot: PlannerSnapshot, limits: StopLimits): MovePlan = PlanningRound(snapshot, limits).plan()

    /** The state of one planning pass: the moves chosen so far and the remaining capacity. */
    private inner class PlanningRound(private val snapshot: PlannerSnapshot, private val limits: StopLimits) {
        private val plan = MovePlanBuilder()
        private val capacities = snapshot.machines.filterNot { it.draining }.map { MachineCapacity(it, settings) }

        fun plan(): MovePlan {
            val coresFreedSoon = coresFreedWithinMargin()
            var requestedCores = 0.0
            for (job in snapshot.waiting.filter { it.isWithinGuarantee && it.startable > 0 }) {
                requestedCores += job.startable * job.spec.cores
                val refusal = refusalReason(job, capacityExpectedSoon = requestedCores <= coresFreedSoon)
                if (refusal != null) {
                    plan.refuse(job, refusal)
                    continue
                }
                val isExhausted = !planStops(job)
                if (isExhausted) break
            }
            return plan.build()
        }

        /** Cores that completions will free within [LoadSpreadSettings.marginS], extrapolated from the sample. */
        private fun coresFreedWithinMargin(): Double = snapshot.machines
            .filterNot { it.draining }
            .flatMap { it.tasks }
            .filter { it.remainingS <= settings.marginS }
            .sumOf { it.spec.cores } / snapshot.sampledShare

        /** Plans stops for each startable task of [job] without a stop in progress; returns false if one is refused. */
        private fun planStops(job: WaitingJob): Boolean {
            val stopsInProgress = snapshot.open.stopsForJob[job.spec.id] ?: 0
            repeat(job.startable - stopsInProgress) {
                val refusal = planStopsForOneTask(job) ?: return@repeat
                plan.refuse(job, refusal)
                return false
            }
            return true
        }

        /** Plans the stops that free capacity for one task of [job]; returns null, or the reason if none is planned. */
        private fun planStopsForOneTask(job: WaitingJob): RefusalReason? {
            val best = capacities.filter { it.machine.allows(job.spec) }
                .mapNotNull { it.stopCandidate(job, limits, weights) }
                .minWithOrNull(CHEAPEST_FIRST)
                ?: return RefusalReason.NO_STOPPABLE_TASKS
            limits.refusalReason(best.tasks)?.let { return it }
            limits.recordStops(best.tasks)
            best.capacity.replace(best.tasks, job)
            val gainS = best.tasks.minOf { it.remainingS }
            for (task in best.tasks) {
                val machine = best.capacity.machine
                plan.add(machine.stop(task, snapshot.zone, MoveReason.GUARANTEE, gainS, beneficiary = job.spec.id))
            }
            return null
        }
    }

    /**
     * Returns why no task is stopped for [job], or null if tasks may be stopped. [capacityExpectedSoon]: whether
     * completions free enough capacity for all work within guarantees up to and including this job.
     */
    private fun refusalReason(job: WaitingJob, capacityExpectedSoon: Boolean): RefusalReason? = when {
        job.waitedS < settings.patienceS -> RefusalReason.WAIT_TOO_SHORT
        capacityExpectedSoon -> RefusalReason.CAPACITY_EXPECTED_SOON
        else -> null
    }

    private companion object {
        val CHEAPEST_FIRST = compareBy<StopCandidate> { it.cost }.thenBy { it.capacity.machine.id }
    }
}
