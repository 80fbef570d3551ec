package io.otterknot.rebalance

import io.otterknot.partition.Partition
import io.otterknot.reassignment.ReassignmentOutcome
import io.otterknot.reassignment.ReassignmentTransactions

/**
 * Executes the moves of one partition and tracks them. It keeps nothing durable: stops are commands in heartbeat
 * responses, reassignments are compare-and-swap transactions, both the same as without load spread.
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

    /** Handovers are under way. */
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

    /** Begins to stop a task; a task that is no longer where the plan saw it makes the move [MoveState.ABANDONED]. */
    fun stop(move: Move.Stop, now: Long) {
        val attempt = partition.machine(move.machine)?.attempts?.get(move.attempt)
        val isRunningThere = attempt != null && !attempt.stopping && attempt.occupiesMachine
        if (!isRunningThere || !leadsPartition()) {
            journal.ended(move, MoveState.ABANDONED, MoveOutcome.TASK_GONE)
            return
        }
        history.recordStop(move.job, move.task, now)
        budget.consume(move.lostCoreS)
        val followed = OpenMove(move, partition, attempt, now)
        open.add(followed)
        journal.proposed(move)
        followed.begin(now)
    }

    /** Brings the open moves up to date and logs those that have ended. */
    fun advance(now: Long) {
        if (open.isEmpty()) return
        val isLeader = leadsPartition()
        for (move in open) {
            if (move.advance(now, isLeader) && move.state.isFinal) journal.ended(move, now)
        }
        open.removeIf { it.state.isFinal }
    }

    /** Reassigns waiting tasks, one move after the other; returns once all outcomes are known. No-op while one runs. */
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

    /** Stops tracking all open moves: the partition has another leader, or load spread was switched off. */
    fun stopTracking(now: Long) {
        for (move in open) {
            move.advance(now, leadsPartition())
            if (move.state.isFinal) journal.ended(move, now)
        }
        open.clear()
    }
}
