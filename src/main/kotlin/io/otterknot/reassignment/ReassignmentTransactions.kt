package io.otterknot.reassignment

import io.otterknot.jobs.JobTransitions
import io.otterknot.leadership.FencedTransactions
import io.otterknot.leadership.Settlement
import io.otterknot.partition.Partition
import io.otterknot.scheduling.PartitionJob
import io.otterknot.store.WriteLimits
import org.slf4j.LoggerFactory
import java.util.BitSet

/** What has become of a reassignment. */
enum class ReassignmentOutcome {
    REASSIGNED,

    /** The tasks wait where they did. */
    NOT_REASSIGNED,

    /** The partition has another leader by now, who finds the tasks in one partition or the other. */
    LEADERSHIP_LOST,
}

/**
 * Reassigns waiting tasks of a partition to another one, in a transaction that is guarded by the version of the job and
 * by the leader record of the giving partition. Until its outcome is known the tasks wait in neither partition, so none
 * can be started twice.
 */
class ReassignmentTransactions(private val transactions: FencedTransactions, private val limits: WriteLimits) {
    private val log = LoggerFactory.getLogger(ReassignmentTransactions::class.java)

    /**
     * Reassigns [tasks] of [job], which [Partition.reserveForReassignment] has set aside in [partition], to the
     * partition of [receiver].
     */
    suspend fun reassign(
        partition: Partition,
        job: PartitionJob,
        tasks: BitSet,
        receiver: String,
    ): ReassignmentOutcome {
        val change = JobTransitions.reassign(job.job, tasks, receiver)
        // A value that is too large would be refused.
        if (change == null || !limits.fits(change)) {
            partition.completeReassignment(job, tasks)
            return ReassignmentOutcome.NOT_REASSIGNED
        }
        val settlement = transactions.settle(partition, change)
        if (settlement == Settlement.LEADERSHIP_LOST) return ReassignmentOutcome.LEADERSHIP_LOST
        log.debug(
            "partition={} job={} tasks={} receiver={} settlement={} reassignment settled",
            partition.zone,
            job.id,
            tasks.cardinality(),
            receiver,
            settlement,
        )
        partition.completeReassignment(job, tasks)
        return if (settlement == Settlement.APPLIED) {
            ReassignmentOutcome.REASSIGNED
        } else {
            ReassignmentOutcome.NOT_REASSIGNED
        }
    }
}
