package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings
import io.otterknot.scheduling.LongWait

/**
 * Decides which waiting tasks are reassigned to which partition: the one where they are expected to start sooner, the
 * image fetch and the reassignment itself included. Only as many go as make both waits equal, or they would oscillate.
 */
class ReassignmentPlanner(private val settings: LoadSpreadSettings) {
    private val weights = CostWeights(settings)

    fun plan(snapshot: PlannerSnapshot): MovePlan {
        if (snapshot.open.reassignmentInProgress) return MovePlan.EMPTY
        val moves = ArrayList<Move>()
        val refusals = ArrayList<MoveRefusal>()
        val taken = HashMap<String, Double>()
        for (job in snapshot.waiting.take(settings.examinedJobs)) {
            if (moves.size >= settings.handOversPerPlan) {
                refusals.add(MoveRefusal(job.team, job.spec.id, RefusalReason.TOO_MANY_MOVES))
                continue
            }
            val refused = refusalReason(job)
            if (refused != null) {
                refusals.add(MoveRefusal(job.team, job.spec.id, refused))
                continue
            }
            when (val choice = choose(job, snapshot, taken)) {
                is Choice.Refused -> refusals.add(MoveRefusal(job.team, job.spec.id, choice.reason))

                is Choice.Chosen -> {
                    moves.add(choice.move)
                    taken.merge(choice.move.target, choice.move.cores, Double::plus)
                    taken.merge(snapshot.zone, -choice.move.cores, Double::plus)
                }
            }
        }
        return MovePlan(moves, refusals)
    }

    private fun refusalReason(job: WaitingJob): RefusalReason? {
        val secondsSinceArrival = job.secondsSinceArrival
        return when {
            job.spec.zone != null -> RefusalReason.BOUND_TO_ZONE
            job.spec.sameZone && !job.isEntirelyPending -> RefusalReason.PARTLY_PLACED
            secondsSinceArrival != null && secondsSinceArrival < settings.returnAfterS -> RefusalReason.JUST_ARRIVED
            else -> null
        }
    }

    private sealed interface Choice {
        class Chosen(val move: Move.Reassignment) : Choice
        class Refused(val reason: RefusalReason) : Choice
    }

    /** [taken]: cores that earlier moves of this plan bring to each partition, or take away. */
    private fun choose(job: WaitingJob, snapshot: PlannerSnapshot, taken: Map<String, Double>): Choice {
        val spec = job.spec
        val targets = snapshot.targets(spec).filter { it != snapshot.zone }
        val here = place(job, snapshot.zone, snapshot, taken)
        val best = targets.map { it to LocalityCost.gain(here, there(job, it, snapshot, taken), weights) }
            .maxWithOrNull(compareBy<Pair<String, Double>> { it.second }.thenByDescending { it.first })
            ?: return Choice.Refused(RefusalReason.NO_TARGET)
        val (target, gainS) = best
        val reason = reason(job, target, gainS, snapshot) ?: return Choice.Refused(RefusalReason.GAIN_TOO_SMALL)
        val amount = amount(job, target, gainS, snapshot)
        val isTooLarge = spec.sameZone && reason != MoveReason.OVERDUE && job.waitingCores > amount * 2
        if (isTooLarge) return Choice.Refused(RefusalReason.GAIN_TOO_SMALL)
        val cores = if (spec.sameZone) job.waitingCores else minOf(job.waitingCores, maxOf(amount, spec.cores))
        return Choice.Chosen(Move.Reassignment(snapshot.zone, job.team, spec.id, reason, gainS, cores, target))
    }

    private fun reason(job: WaitingJob, target: String, gainS: Double, snapshot: PlannerSnapshot): MoveReason? {
        if (gainS >= settings.marginS) return MoveReason.SHORTER_WAIT
        val there = snapshot.cluster.partitions.getValue(target).meanFor(job.spec)
        val here = snapshot.cluster.partitions.getValue(snapshot.zone).meanFor(job.spec)
        // Nothing waits for long while another partition has room, however little there is to gain.
        val isOverdue = LongWait.mayMove(job.waitedS, there) && here - there > LongWait.LEAST_GAP
        return if (isOverdue) MoveReason.OVERDUE else null
    }

    private fun there(job: WaitingJob, zone: String, snapshot: PlannerSnapshot, taken: Map<String, Double>) =
        place(job, zone, snapshot, taken).copy(moveS = settings.handOverDelayS)

    private fun place(
        job: WaitingJob,
        zone: String,
        snapshot: PlannerSnapshot,
        taken: Map<String, Double>,
    ): PlaceCost {
        val spec = job.spec
        val partition = snapshot.cluster.partitions.getValue(zone)
        val extraS = (taken[zone] ?: 0.0) / partition.coresFor(spec) * snapshot.cluster.runS(zone)
        val waitS = snapshot.cluster.waitS(job.team, zone, spec) + extraS
        return PlaceCost(maxOf(0.0, waitS), partition.imageCost(spec, NOMINAL_FETCH_GB_PER_S))
    }

    /** Half of the difference, in cores of the smaller partition: both waits then meet, and nothing swings back. */
    private fun amount(job: WaitingJob, target: String, gainS: Double, snapshot: PlannerSnapshot): Double {
        val here = snapshot.cluster.partitions.getValue(snapshot.zone)
        val there = snapshot.cluster.partitions.getValue(target)
        val cores = minOf(here.coresFor(job.spec), there.coresFor(job.spec))
        return maxOf(0.0, gainS) / 2 / snapshot.cluster.runS(target) * cores
    }

    private companion object {
        /** Partitions publish no rates; machine types differ little in theirs. */
        const val NOMINAL_FETCH_GB_PER_S = 1.0
    }
}
