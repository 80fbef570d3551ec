package io.otterknot.reassignment

import io.otterknot.jobs.JobTransitions
import io.otterknot.leadership.FencedTransactions
import io.otterknot.partition.Partition
import io.otterknot.scheduling.PartitionJob
import io.otterknot.store.WriteLimits
import org.slf4j.LoggerFactory
import java.util.BitSet

/**
 * Gives waiting tasks of a partition to another one, in a transaction on the job and the giving partition's key. Until
 * the outcome is known the tasks belong to nobody's queue.
 */
class TaskReassignment(private val txn: FencedTransactions, private val limits: WriteLimits) {
    private val log = LoggerFactory.getLogger(TaskReassignment::class.java)

    enum class Outcome {
        MOVED,

        /** The tasks wait where they did. */
        STAYED,

        /** The partition has another owner by now, who will find the tasks in one place or the other. */
        PARTITION_LOST,
    }

    /** Gives [tasks], which have been set aside, to the partition of [zone]. */
    suspend fun transfer(partition: Partition, held: PartitionJob, tasks: BitSet, zone: String): Outcome {
        val change = JobTransitions.reassign(held.job, tasks, zone)
        // A value that is too large would be refused.
        if (change == null || !limits.fits(change)) {
            partition.completeReassignment(held, tasks)
            return Outcome.STAYED
        }
        val settled = txn.settle(partition, change)
        if (settled == FencedTransactions.Settled.PART_LOST) return Outcome.PARTITION_LOST
        log.debug("{}: {} tasks of {} to {}: {}", partition.zone, tasks.cardinality(), held.id, zone, settled)
        partition.completeReassignment(held, tasks)
        return if (settled == FencedTransactions.Settled.APPLIED) Outcome.MOVED else Outcome.STAYED
    }
}
