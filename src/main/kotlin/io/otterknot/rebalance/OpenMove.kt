package io.otterknot.rebalance

import io.otterknot.partition.Partition
import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.PartitionJob

/**
 * Tracks the stop of a running task until it is placed again. The authoritative state is in the [Partition]: if the
 * leader fails at any step, the next leader finds an ordinary running or waiting task.
 *
 * Each step is derived from the partition's state, which heartbeats update:
 * - If the task completes while the stop is in transit, the task is recorded as completed and the move is abandoned.
 * - If the job is cancelled, the job has finished and the move is abandoned.
 * - If the machine does not respond, the stop ends when its lease expires: the partition then removes the attempt.
 */
class OpenMove(
    val move: Move.Stop,
    private val partition: Partition,
    private val attempt: Attempt,
    private val sinceMs: Long,
) {
    private val job: PartitionJob = attempt.job

    var state = MoveState.PROPOSED
        private set
    var outcome: MoveOutcome? = null
        private set

    /** The machine on which the task was placed again, or null if it is not placed or is now in another partition. */
    var placedOn: String? = null
        private set
    private var stoppedMs = 0L

    /** Requests the stop of the attempt. */
    fun requestStop(now: Long) {
        state = MoveState.STOPPING
        partition.stopForMove(attempt)
        advance(now, isLeader = true)
    }

    /** Updates [state] from the partition and returns whether it has changed. */
    fun advance(now: Long, isLeader: Boolean): Boolean {
        val before = state
        when {
            state.isFinal -> Unit
            !isLeader -> abandon(MoveOutcome.LEADERSHIP_LOST)
            isCompleted() -> abandon(MoveOutcome.COMPLETED_FIRST)
            job.finished -> abandon(MoveOutcome.JOB_FINISHED)
            state == MoveState.STOPPING -> checkStopped(now)
            state == MoveState.STOPPED -> checkPlaced(now)
        }
        return state != before
    }

    private fun isCompleted() = job.unrecordedCompletions.get(move.task) || job.job.completedTasks.get(move.task)

    private fun checkStopped(now: Long) {
        if (attempt.occupiesMachine) return
        val machine = partition.machine(move.machine)
        if (machine == null || machine.leaseExpired) outcome = MoveOutcome.MACHINE_LOST
        state = MoveState.STOPPED
        stoppedMs = now
        checkPlaced(now)
    }

    private fun checkPlaced(now: Long) {
        val next = job.active.get(move.task)
        when {
            next != null && next !== attempt -> markPlaced(next.machine.id)
            !job.owned.get(move.task) -> markPlaced(null)
            now - stoppedMs > MAX_TRACKED_WAIT_MS -> abandon(MoveOutcome.NOT_PLACED)
        }
    }

    private fun markPlaced(machine: String?) {
        placedOn = machine
        state = MoveState.PLACED
    }

    private fun abandon(reason: MoveOutcome) {
        outcome = reason
        state = MoveState.ABANDONED
    }

    /** Returns the milliseconds since the move started. */
    fun elapsedMs(now: Long): Long = now - sinceMs

    private companion object {
        /** Maximum time a move is tracked after the stop; the task then waits like any other. */
        const val MAX_TRACKED_WAIT_MS = 120_000L
    }
}
