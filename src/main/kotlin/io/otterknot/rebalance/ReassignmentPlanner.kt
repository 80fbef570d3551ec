package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings
import io.otterknot.scheduling.LongWaitPolicy

/**
 * Chooses the waiting tasks that are reassigned, and their target: the partition where they are expected to start
 * soonest, including the time for the image fetch and the reassignment. Only as many are moved as make the waits of
 * both partitions equal, since more would make tasks oscillate between them.
 */
class ReassignmentPlanner(private val settings: LoadSpreadSettings) {
    private val weights = CostWeights(settings)

    fun plan(snapshot: PlannerSnapshot): MovePlan {
        if (snapshot.open.reassignmentInProgress) return MovePlan.EMPTY
        return PlanningRound(snapshot).plan()
    }

    private sealed interface Choice {
        class Reassign(val move: Move.Reassignment) : Choice
        class Refuse(val reason: RefusalReason) : Choice
    }

    /** A candidate partition and how many weighted seconds sooner tasks would start there. */
    private class Target(val zone: String, val gainS: Double)

    /** The state of one planning pass. */
    private inner class PlanningRound(private val snapshot: PlannerSnapshot) {
        private val cluster = snapshot.cluster
        private val plan = MovePlanBuilder()

        /** Cores that the moves chosen so far add to each partition; negative if they remove cores. */
        private val plannedCores = HashMap<String, Double>()

        fun plan(): MovePlan {
            for (job in snapshot.waiting.take(settings.examinedJobs)) {
                when (val choice = choose(job)) {
                    is Choice.Refuse -> plan.refuse(job, choice.reason)
                    is Choice.Reassign -> add(choice.move)
                }
            }
            return plan.build()
        }

        private fun add(move: Move.Reassignment) {
            plan.add(move)
            plannedCores.merge(move.target, move.cores, Double::plus)
            plannedCores.merge(snapshot.zone, -move.cores, Double::plus)
        }

        private fun choose(job: WaitingJob): Choice {
            if (plan.moveCount >= settings.reassignmentsPerPlan) return Choice.Refuse(RefusalReason.TOO_MANY_MOVES)
            refusalReason(job)?.let { return Choice.Refuse(it) }
            val target = bestTarget(job) ?: return Choice.Refuse(RefusalReason.NO_TARGET)
            val reason = moveReason(job, target) ?: return Choice.Refuse(RefusalReason.GAIN_TOO_SMALL)
            return sizedChoice(job, target, reason)
        }

        private fun bestTarget(job: WaitingJob): Target? {
            val here = placeCost(job, snapshot.zone)
            return snapshot.targets(job.spec)
                .filter { it != snapshot.zone }
                .map { zone ->
                    val there = placeCost(job, zone).copy(moveS = settings.reassignmentDelayS)
                    Target(zone, LocalityCost.gain(here, there, weights))
                }
                .maxWithOrNull(LARGEST_GAIN)
        }

        /** Returns the reason to move [job] to [target], or null if it is not moved. */
        private fun moveReason(job: WaitingJob, target: Target): MoveReason? {
            if (target.gainS >= settings.marginS) return MoveReason.SHORTER_WAIT
            val meanThere = cluster.partitions.getValue(target.zone).meanFor(job.spec)
            val meanHere = cluster.partitions.getValue(snapshot.zone).meanFor(job.spec)
            // A job that has waited long is moved to a partition with capacity even if the gain is below the margin.
            val isOverdue =
                LongWaitPolicy.mayMove(job.waitedS, meanThere) && meanHere - meanThere > LongWaitPolicy.MIN_MEAN_GAP
            return if (isOverdue) MoveReason.OVERDUE else null
        }

        /** Moves as many cores of [job] as equalize both waits; a `sameZone` job is moved entirely or not at all. */
        private fun sizedChoice(job: WaitingJob, target: Target, reason: MoveReason): Choice {
            val spec = job.spec
            val balancingCores = balancingCores(job, target)
            val isTooLarge = reason != MoveReason.OVERDUE && job.waitingCores > balancingCores * 2
            if (spec.sameZone && isTooLarge) return Choice.Refuse(RefusalReason.GAIN_TOO_SMALL)
            val partialCores = minOf(job.waitingCores, maxOf(balancingCores, job.taskCores))
            val cores = if (spec.sameZone) job.waitingCores else partialCores
            val move = Move.Reassignment(snapshot.zone, job.team, spec.id, reason, target.gainS, cores, target.zone)
            return Choice.Reassign(move)
        }

        /** Returns the cores that equalize both waits: half of the gain, in cores of the smaller partition. */
        private fun balancingCores(job: WaitingJob, target: Target): Double {
            val here = cluster.partitions.getValue(snapshot.zone)
            val there = cluster.partitions.getValue(target.zone)
            val cores = minOf(here.coresFor(job.spec), there.coresFor(job.spec))
            return maxOf(0.0, target.gainS) / 2 / cluster.runS(target.zone) * cores
        }

        private fun placeCost(job: WaitingJob, zone: String): PlaceCost {
            val spec = job.spec
            val partition = cluster.partitions.getValue(zone)
            val extraS = (plannedCores[zone] ?: 0.0) / partition.coresFor(spec) * cluster.runS(zone)
            val waitS = cluster.waitS(job.team, zone, spec) + extraS
            return PlaceCost(maxOf(0.0, waitS), partition.imageCost(spec, NOMINAL_FETCH_GB_PER_S))
        }
    }

    /** Returns why [job] may not be reassigned to any partition now, or null if it may. */
    private fun refusalReason(job: WaitingJob): RefusalReason? {
        val sinceArrivalS = job.secondsSinceArrival
        return when {
            job.spec.zone != null -> RefusalReason.BOUND_TO_ZONE
            job.spec.sameZone && !job.isEntirelyPending -> RefusalReason.PARTLY_PLACED
            sinceArrivalS != null && sinceArrivalS < settings.returnAfterS -> RefusalReason.JUST_ARRIVED
            else -> null
        }
    }

    private companion object {
        /** Assumed fetch rate: partitions publish none, and the rates of machine types differ little. */
        const val NOMINAL_FETCH_GB_PER_S = 1.0

        /** Largest gain; among equal gains, the first zone in alphabetical order. */
        val LARGEST_GAIN = compareBy<Target> { it.gainS }.thenByDescending { it.zone }
    }
}
