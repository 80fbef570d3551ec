package io.otterknot.rebalance

import io.otterknot.partition.Partition
import io.otterknot.reassignment.ReassignmentOutcome
import io.otterknot.reassignment.ReassignmentTransactions

/**
 * Executes and tracks the moves of one partition. It stores no durable state: stops are sent as commands in heartbeat
 * responses and reassignments are compare-and-swap transactions, the same as without load spread.
 */
class MoveExecutor(
    private val partition: Partition,
    private val reassignment: ReassignmentTransactions,
    private val journal: MoveJournal,
    private val history: MoveHistory,
    private val budget: LostWorkBudget,
    /** Whether this controller still leads the partition under the same fencing token. */
    private val leadsPartition: () -> Boolean,
) {
    private val open = ArrayList<OpenMove>()

    /** Whether reassignments are in progress. */
    private var isReassigning = false

    fun summarizeOpenMoves(): OpenMoves {
        val stopping = open.filter { it.state == MoveState.STOPPING }
        return OpenMoves(
            stops = stopping.size,
            stopsByTeam = stopping.groupingBy { it.move.team }.eachCount(),
            stopsByJob = stopping.groupingBy { it.move.job }.eachCount(),
            stoppingCoresByTeam = stopping.groupBy { it.move.team }.mapValues { (_, moves) ->
                moves.sumOf { it.move.cores }
            },
            stopsForJob = stopping.mapNotNull { it.move.beneficiary }.groupingBy { it }.eachCount(),
            reassignmentInProgress = isReassigning,
        )
    }

    /** Starts to stop a task. If it no longer runs on the planned machine, the move ends [MoveState.ABANDONED]. */
    fun stop(move: Move.Stop, now: Long) {
        val attempt = partition.machine(move.machine)?.attempts?.get(move.attempt)
        val isRunningThere = attempt != null && !attempt.stopping && attempt.occupiesMachine
        if (!isRunningThere || !leadsPartition()) {
            journal.ended(move, MoveState.ABANDONED, MoveOutcome.TASK_GONE)
            return
        }
        history.recordStop(move.job, move.task, now)
        budget.consume(move.lostCoreS)
        val openMove = OpenMove(move, partition, attempt, now)
        open.add(openMove)
        journal.proposed(move)
        openMove.requestStop(now)
    }

    /** Updates the state of the open moves and logs those that have ended. */
    fun advance(now: Long) {
        if (open.isEmpty()) return
        val isLeader = leadsPartition()
        for (move in open) {
            if (move.advance(now, isLeader) && move.state.isFinal) journal.ended(move, now)
        }
        open.removeIf { it.state.isFinal }
    }

    /** Executes [moves] one by one and returns when all have ended. Does nothing if another call is in progress. */
    suspend fun reassign(moves: List<Move.Reassignment>) {
        if (isReassigning) return
        isReassigning = true
        try {
            moves.forEach { reassign(it) }
        } finally {
            isReassigning = false
        }
    }

    private suspend fun reassign(move: Move.Reassignment) {
        val job = partition.job(move.job)
        if (job == null || job.finished || !leadsPartition()) {
            journal.ended(move, MoveState.ABANDONED, MoveOutcome.TASK_GONE)
            return
        }
        val tasks = partition.reserveForReassignment(job, move.cores)
        if (tasks.isEmpty) {
            journal.ended(move, MoveState.ABANDONED, MoveOutcome.TASK_GONE)
            return
        }
        journal.proposed(move)
        when (reassignment.reassign(partition, job, tasks, move.target)) {
            ReassignmentOutcome.REASSIGNED -> journal.ended(move, MoveState.PLACED, null, tasks.cardinality())

            ReassignmentOutcome.NOT_REASSIGNED -> journal.ended(move, MoveState.ABANDONED, MoveOutcome.NOT_REASSIGNED)

            ReassignmentOutcome.LEADERSHIP_LOST -> journal.ended(
                move,
                MoveState.ABANDONED,
                MoveOutcome.LEADERSHIP_LOST,
            )
        }
    }

    /** Stops tracking all open moves; called when the partition has another leader or the settings have changed. */
    fun stopTracking(now: Long) {
        for (move in open) {
            move.advance(now, leadsPartition())
            if (move.state.isFinal) journal.ended(move, now)
        }
        open.clear()
    }
}
