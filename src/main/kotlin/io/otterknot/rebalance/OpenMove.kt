package io.otterknot.rebalance

import io.otterknot.partition.Partition
import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.PartitionJob
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How far a move has come. */
@Serializable
enum class MoveState {
    @SerialName("proposed")
    PROPOSED,

    /** The task was told to stop, or is to be with the next answer to its machine. */
    @SerialName("stopping")
    STOPPING,

    /** It is on no machine any more, and waits. */
    @SerialName("stopped")
    STOPPED,

    /** It is on a machine again, or belongs to another partition. */
    @SerialName("placed")
    PLACED,

    /** The move came to nothing; the task is an ordinary one again, or over. */
    @SerialName("abandoned")
    ABANDONED,
    ;

    val isFinal: Boolean get() = this == PLACED || this == ABANDONED
}

/** What became of a move that did not end as it was meant. */
@Serializable
enum class MoveOutcome {
    @SerialName("the task completed first")
    COMPLETED_FIRST,

    @SerialName("the job is over")
    JOB_OVER,

    @SerialName("the partition has another owner")
    OWNERSHIP_LOST,

    @SerialName("its machine was lost")
    MACHINE_LOST,

    @SerialName("the task is not where it was")
    TASK_GONE,

    @SerialName("the handover was not carried out")
    NOT_TRANSFERRED,

    @SerialName("not placed anew for long")
    NOT_PLACED,
}

/**
 * A running task on its way from one machine to another, as one owner follows it. It holds nothing that the ledger does
 * not hold: should the owner vanish at any step, the next one finds an ordinary task that runs, or one that waits.
 *
 * Every step is read off the ledger, which reports change: so a completion that meets the stop wins, since the ledger
 * has it as completed; a cancellation wins over both, since the job is over; and a stop that is not answered ends with
 * the machine's lease, after which the ledger holds no attempt any more.
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

    /** Where the task went. */
    var placedOn: String? = null
        private set
    private var stoppedMs = 0L

    /** Tells the ledger to stop the attempt. */
    fun begin(now: Long) {
        state = MoveState.STOPPING
        partition.stopForMove(attempt)
        advance(now, ownsPartition = true)
    }

    /** Reads off the ledger how far it has come; whether that is further than before. */
    fun advance(now: Long, ownsPartition: Boolean): Boolean {
        val before = state
        when {
            state.isFinal -> Unit
            !ownsPartition -> abandon(MoveOutcome.OWNERSHIP_LOST)
            isCompleted() -> abandon(MoveOutcome.COMPLETED_FIRST)
            job.finished -> abandon(MoveOutcome.JOB_OVER)
            state == MoveState.STOPPING -> lookWhetherStopped(now)
            state == MoveState.STOPPED -> lookWhetherPlaced(now)
        }
        return state != before
    }

    private fun isCompleted() = job.unrecordedCompletions.get(move.task) || job.job.completedTasks.get(move.task)

    private fun lookWhetherStopped(now: Long) {
        if (attempt.occupiesMachine) return
        val machine = partition.machine(move.machine)
        if (machine == null || machine.leaseExpired) outcome = MoveOutcome.MACHINE_LOST
        state = MoveState.STOPPED
        stoppedMs = now
        lookWhetherPlaced(now)
    }

    private fun lookWhetherPlaced(now: Long) {
        val next = job.active.get(move.task)
        when {
            next != null && next !== attempt -> place(next.machine.id)
            !job.owned.get(move.task) -> place(null)
            now - stoppedMs > LONGEST_WAIT_MS -> abandon(MoveOutcome.NOT_PLACED)
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

    fun tookMs(now: Long): Long = now - sinceMs

    private companion object {
        /** Followed no longer than this; the task waits on as any other. */
        const val LONGEST_WAIT_MS = 120_000L
    }
}
