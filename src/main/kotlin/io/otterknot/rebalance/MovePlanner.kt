package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings

/**
 * Plans the moves of one partition. The same snapshot always gives the same plan: it reads no clock, and what is random
 * in it, the sample of machines, was drawn when the snapshot was taken.
 */
class MovePlanner(private val settings: LoadSpreadSettings) {
    private val handOvers = ReassignmentPlanner(settings)
    private val guarantees = GuaranteePlanner(settings)
    private val drains = DrainPlanner(settings)

    fun plan(snapshot: PlannerSnapshot): MovePlan {
        val parts = ArrayList<MovePlan>()
        val limits = StopLimits(settings, snapshot)
        if (settings.drains) parts.add(drains.plan(snapshot, limits))
        if (settings.guarantees) parts.add(guarantees.plan(snapshot, limits))
        if (settings.reassignsTasks) parts.add(handOvers.plan(snapshot))
        return MovePlan(withoutRepeats(parts.flatMap { it.moves }), parts.flatMap { it.refusals })
    }

    /** Keeps the first stop of each attempt: a task on a draining machine may be in the way of a guarantee as well. */
    private fun withoutRepeats(moves: List<Move>): List<Move> {
        val stopped = HashSet<Long>()
        return moves.filter { it !is Move.Stop || stopped.add(it.attempt) }
    }
}
