package io.otterknot.rebalance

/** Something that was looked at and is not moved. */
data class MoveRefusal(val team: String, val job: String, val reason: RefusalReason)

/** What a plan comes to. */
class MovePlan(val moves: List<Move>, val refusals: List<MoveRefusal>) {
    companion object {
        val EMPTY = MovePlan(emptyList(), emptyList())
    }
}
