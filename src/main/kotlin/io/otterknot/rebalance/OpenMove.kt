package io.otterknot.rebalance

import io.otterknot.partition.Partition
import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.PartitionJob

/**
 * A running task on its way from one machine to another, as one leader tracks it. All state that matters is in the
 * [Partition]: should the leader fail at any step, the next one finds an ordinary task that runs, or one that waits.
 *
 * Each step is derived from the partition's state, which heartbeats change. So a completion that crosses the stop
 * wins, since the task is recorded as completed; a cancellation wins over both, since the job has finished; and a stop
 * without a response ends with the machine's lease, after which the partition has no such attempt.
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

    /** The machine that the task was placed on; null: not placed yet, or now in another partition. */
    var placedOn: String? = null
        private set
    private var stoppedMs = 0L

    /** Requests the stop of the attempt. */
    fun begin(now: Long) {
        state = MoveState.STOPPING
        partition.stopForMove(attempt)
        advance(now, isLeader = true)
    }

    /** Updates [state] from the partition; returns whether it has changed. */
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
            next != null && next !== attempt -> place(next.machine.id)
            !job.owned.get(move.task) -> place(null)
            now - stoppedMs > MAX_TRACKED_WAIT_MS -> abandon(MoveOutcome.NOT_PLACED)
        }
    }

    private fun place(machine: String?) {
        placedOn = machine
        state = MoveState.PLACED
    }

    private fun abandon(why: MoveOutcome) {
        outcome = why
        state = MoveState.ABANDONED
    }

    /** Milliseconds since the move began. */
    fun elapsedMs(now: Long): Long = now - sinceMs

    private companion object {
        /** Tracked no longer than this after the stop; the task then waits as any other. */
        const val MAX_TRACKED_WAIT_MS = 120_000L
    }
}
