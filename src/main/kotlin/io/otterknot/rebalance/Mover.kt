package io.otterknot.rebalance

import io.otterknot.partition.Partition
import io.otterknot.reassignment.TaskReassignment

/**
 * Carries out the moves of one partition and follows them. It keeps nothing durable: stops go out with answers to
 * reports as any other, handovers are guarded transactions as any other.
 */
class Mover(
    private val partition: Partition,
    private val transfer: TaskReassignment,
    private val journal: MoveJournal,
    private val history: MoveHistory,
    private val budget: LostWorkBudget,
    /** Whether this node still owns the partition under this token. */
    private val ownsPartition: () -> Boolean,
) {
    private val open = ArrayList<OpenMove>()

    /** Handovers are under way. */
    private var isHandingOver = false

    fun openMoves(): OpenMoves {
        val stopping = open.filter { it.state == MoveState.STOPPING }
        return OpenMoves(
            stops = stopping.size,
            stopsByTeam = stopping.groupingBy { it.move.team }.eachCount(),
            stopsByJob = stopping.groupingBy { it.move.job }.eachCount(),
            stoppingCoresByTeam = stopping.groupBy { it.move.team }.mapValues { (_, moves) ->
                moves.sumOf { it.move.cores }
            },
            stopsForJob = stopping.mapNotNull { it.move.beneficiary }.groupingBy { it }.eachCount(),
            handOverUnderWay = isHandingOver,
        )
    }

    /** Begins to stop a task, if it still is where the plan saw it. */
    fun stop(move: Move.Stop, now: Long) {
        val attempt = partition.machine(move.machine)?.attempts?.get(move.attempt)
        if (attempt == null || attempt.stopping || !attempt.occupiesMachine || !ownsPartition()) {
            journal.ended(move, MoveState.ABANDONED, MoveOutcome.TASK_GONE)
            return
        }
        history.stopped(move.job, move.task, now)
        budget.take(move.lostCoreS)
        val followed = OpenMove(move, partition, attempt, now)
        open.add(followed)
        journal.proposed(move)
        followed.begin(now)
    }

    /** Follows what is under way. */
    fun advance(now: Long) {
        if (open.isEmpty()) return
        val owns = ownsPartition()
        for (move in open) {
            if (move.advance(now, owns) && move.state.isFinal) journal.ended(move, now)
        }
        open.removeIf { it.state.isFinal }
    }

    /** Hands waiting tasks over, one move after the other; returns once it is known what became of them. */
    suspend fun handOver(moves: List<Move.HandOver>) {
        if (isHandingOver) return
        isHandingOver = true
        try {
            moves.forEach { handOver(it) }
        } finally {
            isHandingOver = false
        }
    }

    private suspend fun handOver(move: Move.HandOver) {
        val job = partition.job(move.job)
        if (job == null || job.finished || !ownsPartition()) {
            journal.ended(move, MoveState.ABANDONED, MoveOutcome.TASK_GONE)
            return
        }
        val tasks = partition.reserveForReassignment(job, move.cores)
        if (tasks.isEmpty) {
            journal.ended(move, MoveState.ABANDONED, MoveOutcome.TASK_GONE)
            return
        }
        journal.proposed(move)
        when (transfer.transfer(partition, job, tasks, move.target)) {
            TaskReassignment.Outcome.MOVED -> journal.ended(move, MoveState.PLACED, null, tasks.cardinality())

            TaskReassignment.Outcome.STAYED -> journal.ended(move, MoveState.ABANDONED, MoveOutcome.NOT_TRANSFERRED)

            TaskReassignment.Outcome.PARTITION_LOST -> journal.ended(
                move,
                MoveState.ABANDONED,
                MoveOutcome.OWNERSHIP_LOST,
            )
        }
    }

    /** The owner is another by now, or load spread was switched off: nothing is followed any more. */
    fun giveUp(now: Long) {
        for (move in open) {
            move.advance(now, ownsPartition())
            if (move.state.isFinal) journal.ended(move, now)
        }
        open.clear()
    }
}
