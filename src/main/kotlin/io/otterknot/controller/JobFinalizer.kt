package io.otterknot.controller

import io.otterknot.jobs.Job
import io.otterknot.jobs.JobTable
import io.otterknot.jobs.JobTransitions
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.TransactionOutcome
import org.slf4j.LoggerFactory

/**
 * Writes the terminal states of jobs. The leader of a job's home partition writes the job's terminal state once the
 * completions of all its tasks are durable, or once a job that it depends on is cancelled; the job API reports such a
 * cancellation without waiting for the write. Owns no state.
 */
class JobFinalizer(
    private val store: StoreAccess,
    private val jobs: JobTable,
    private val leadership: PartitionLeadership,
    private val wallMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(JobFinalizer::class.java)

    /** Writes all terminal states that are due; stops at the first failed transaction, as its cause may persist. */
    suspend fun finishAll() {
        val dueByHomeZone = jobs.activeJobs.filter(::isDue).groupBy { it.record?.homeZone.orEmpty() }
        for ((homeZone, due) in dueByHomeZone) {
            for (batch in batches(due)) {
                val mayContinue = finish(homeZone, batch)
                if (!mayContinue) return
            }
        }
    }

    /** Whether [job] has an unrecorded terminal state and this controller leads its home partition. */
    private fun isDue(job: Job): Boolean {
        if (job.unrecordedTerminalState == null) return false
        return job.record?.homeZone?.let(leadership::acquiredToken) != null
    }

    /** Splits [due] into batches. A job whose dependency segments must be removed too gets a batch of its own. */
    private fun batches(due: List<Job>): List<List<Job>> {
        val (large, small) = due.partition { (it.record?.dependencySegments ?: 0) > 0 }
        val size =
            minOf(store.client.rateLimiter.maxBackgroundChanges, store.limits.maxTransactionChanges, MAX_BATCH_JOBS)
        return small.chunked(size) + large.map(::listOf)
    }

    /**
     * Writes the terminal states of [batch] and returns whether to continue with further batches. Some of its jobs may
     * have been cancelled while earlier batches were written, so each terminal state is decided here, from the current
     * state of the job.
     */
    private suspend fun finish(homeZone: String, batch: List<Job>): Boolean {
        val leaderCondition = leadership.leadershipCondition(homeZone) ?: return true
        val transitions = batch.filter(::isDue).mapNotNull { JobTransitions.finish(it, wallMs(), store.limits) }
        if (transitions.isEmpty()) return true
        val change = transitions.reduce(CompareAndSwap::plus).withCondition(leaderCondition)
        store.client.rateLimiter.acquireSpare(change.size)
        return when (val outcome = store.client.transact(change)) {
            is TransactionOutcome.Applied -> {
                log.debug("keys={} terminal states written", change.changes.map { it.key })
                store.replica.awaitRevision(outcome.revision, REPLICA_TIMEOUT_MS)
            }

            // A job was cancelled or its tasks reassigned meanwhile; the next round decides from the updated replica.
            is TransactionOutcome.Conflict -> store.replica.awaitRevision(outcome.revision, REPLICA_TIMEOUT_MS)

            is TransactionOutcome.Refused -> {
                if (outcome.isTooLarge) store.limits.reduceAfterRefusal(change.changes)
                false
            }

            is TransactionOutcome.Unknown -> false
        }
    }

    private companion object {
        /** How long to wait for the replica to reach the revision of a transaction. */
        const val REPLICA_TIMEOUT_MS = 1_500L

        /** A larger batch would conflict more often with cancellations. */
        const val MAX_BATCH_JOBS = 8
    }
}
