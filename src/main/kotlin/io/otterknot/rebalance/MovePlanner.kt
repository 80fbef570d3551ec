package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings

/**
 * Plans the moves of one partition. Planning is deterministic: it reads no clock, and the random sample of machines is
 * drawn when the snapshot is built.
 */
class MovePlanner(private val settings: LoadSpreadSettings) {
    private val reassignments = ReassignmentPlanner(settings)
    private val guarantees = GuaranteePlanner(settings)
    private val drains = DrainPlanner(settings)

    fun plan(snapshot: PlannerSnapshot): MovePlan {
        val parts = ArrayList<MovePlan>()
        val limits = StopLimits(settings, snapshot)
        if (settings.drains) parts.add(drains.plan(snapshot, limits))
        if (settings.guarantees) parts.add(guarantees.plan(snapshot, limits))
        if (settings.reassignsTasks) parts.add(reassignments.plan(snapshot))
        return MovePlan(withoutDuplicateStops(parts.flatMap { it.moves }), parts.flatMap { it.refusals })
    }

    /**
     * Keeps only the first stop of each attempt: the drain planner and the guarantee planner may both choose a task on
     * a draining machine.
     */
    private fun withoutDuplicateStops(moves: List<Move>): List<Move> {
        val stopped = HashSet<Long>()
        return moves.filter { it !is Move.Stop || stopped.add(it.attempt) }
    }
}
