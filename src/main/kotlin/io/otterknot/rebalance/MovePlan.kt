package io.otterknot.rebalance

/** A job or task that was considered and is not moved. */
data class MoveRefusal(val team: String, val job: String, val reason: RefusalReason)

/** The outcome of planning one partition once. */
class MovePlan(val moves: List<Move>, val refusals: List<MoveRefusal>) {
    companion object {
        val EMPTY = MovePlan(emptyList(), emptyList())
    }
}
