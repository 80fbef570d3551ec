package io.otterknot.rebalance

/** A job, or a task of it, that was considered and is not moved. */
data class MoveRefusal(val team: String, val job: String, val reason: RefusalReason)

/** The moves and refusals of one planning pass over a partition. */
class MovePlan(val moves: List<Move>, val refusals: List<MoveRefusal>) {
    companion object {
        val EMPTY = MovePlan(emptyList(), emptyList())
    }
}
