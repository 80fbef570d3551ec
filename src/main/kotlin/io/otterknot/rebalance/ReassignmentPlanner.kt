package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings
import io.otterknot.scheduling.LongWaitPolicy

/**
 * Decides which waiting tasks are reassigned to which partition: the one where they are expected to start sooner, the
 * image fetch and the reassignment itself included. Only as many go as make both waits equal, or they would oscillate.
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

    /** A partition that tasks could go to, and how many weighted seconds sooner they would start there. */
    private class Target(val zone: String, val gainS: Double)

    /** The state of one plan. */
    private inner class PlanningRound(private val snapshot: PlannerSnapshot) {
        private val cluster = snapshot.cluster
        private val plan = MovePlanBuilder()

        /** Cores that the moves chosen so far bring to each partition; negative: take away. */
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
            return sized(job, target, reason)
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

        /** Why [job] is worth moving to [target]; null: it is not. */
        private fun moveReason(job: WaitingJob, target: Target): MoveReason? {
            if (target.gainS >= settings.marginS) return MoveReason.SHORTER_WAIT
            val meanThere = cluster.partitions.getValue(target.zone).meanFor(job.spec)
            val meanHere = cluster.partitions.getValue(snapshot.zone).meanFor(job.spec)
            // No task waits long while another partition has capacity, however small the gain.
            val isOverdue =
                LongWaitPolicy.mayMove(job.waitedS, meanThere) && meanHere - meanThere > LongWaitPolicy.MIN_MEAN_GAP
            return if (isOverdue) MoveReason.OVERDUE else null
        }

        /** Moves as many cores of [job] as equalize both waits; a `sameZone` job goes as a whole or not at all. */
        private fun sized(job: WaitingJob, target: Target, reason: MoveReason): Choice {
            val spec = job.spec
            val balancingCores = balancingCores(job, target)
            val isTooLarge = reason != MoveReason.OVERDUE && job.waitingCores > balancingCores * 2
            if (spec.sameZone && isTooLarge) return Choice.Refuse(RefusalReason.GAIN_TOO_SMALL)
            val partialCores = minOf(job.waitingCores, maxOf(balancingCores, spec.cores))
            val cores = if (spec.sameZone) job.waitingCores else partialCores
            val move = Move.Reassignment(snapshot.zone, job.team, spec.id, reason, target.gainS, cores, target.zone)
            return Choice.Reassign(move)
        }

        /** Half of the gain, in cores of the smaller partition: both waits are then equal. */
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

    /** Why [job] is not considered for any target; null: it is. */
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
        /** Partitions publish no rates; machine types differ little in theirs. */
        const val NOMINAL_FETCH_GB_PER_S = 1.0

        /** Of equal gains, the first zone by name. */
        val LARGEST_GAIN = compareBy<Target> { it.gainS }.thenByDescending { it.zone }
    }
}
