package io.otterknot.reassignment

import io.otterknot.jobs.JobTransitions
import io.otterknot.leadership.FencedTransactions
import io.otterknot.leadership.Settlement
import io.otterknot.partition.Partition
import io.otterknot.scheduling.PartitionJob
import io.otterknot.store.WriteLimits
import org.slf4j.LoggerFactory
import java.util.BitSet

/** The outcome of a reassignment. */
enum class ReassignmentOutcome {
    REASSIGNED,

    /** The tasks remain pending in the source partition. */
    NOT_REASSIGNED,

    /**
     * This controller no longer leads the source partition. The next leader reads from the store which of the two
     * partitions the tasks belong to.
     */
    LEADERSHIP_LOST,
}

/**
 * Reassigns pending tasks of a partition to another one, in a transaction that is guarded by the version of the job and
 * by the leader record of the source partition. Until the outcome of the transaction is known, the tasks are pending in
 * neither partition, so no task can be started twice.
 */
class ReassignmentTransactions(private val transactions: FencedTransactions, private val limits: WriteLimits) {
    private val log = LoggerFactory.getLogger(ReassignmentTransactions::class.java)

    /**
     * Reassigns [tasks] of [job], which [Partition.reserveForReassignment] has reserved in [partition], to the
     * partition of [targetZone].
     */
    suspend fun reassign(
        partition: Partition,
        job: PartitionJob,
        tasks: BitSet,
        targetZone: String,
    ): ReassignmentOutcome {
        val change = JobTransitions.reassign(job.job, tasks, targetZone)
        // The store would refuse a value that exceeds its size limit.
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
            targetZone,
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
