package io.otterknot.rebalance

/** Collects the moves and refusals of one plan. */
internal class MovePlanBuilder {
    private val moves = ArrayList<Move>()
    private val refusals = ArrayList<MoveRefusal>()

    val moveCount: Int get() = moves.size

    fun add(move: Move) {
        moves.add(move)
    }

    fun refuse(job: WaitingJob, reason: RefusalReason) {
        refusals.add(MoveRefusal(job.team, job.spec.id, reason))
    }

    fun refuse(task: RunningTask, reason: RefusalReason) {
        refusals.add(MoveRefusal(task.team, task.spec.id, reason))
    }

    fun build() = MovePlan(moves, refusals)
}
