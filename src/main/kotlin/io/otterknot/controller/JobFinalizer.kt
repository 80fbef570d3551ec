package io.otterknot.controller

import io.otterknot.jobs.Job
import io.otterknot.jobs.JobTable
import io.otterknot.jobs.JobTransitions
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.TransactionOutcome
import org.slf4j.LoggerFactory

/**
 * Writes the final states of jobs. The leader of a job's home partition makes it final once the completions of all its
 * tasks are durable, or once a job that it depends on is cancelled; the job API reports the latter without waiting for
 * the write. Owns no state.
 */
class JobFinalizer(
    private val store: StoreAccess,
    private val jobs: JobTable,
    private val leadership: PartitionLeadership,
    private val wallMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(JobFinalizer::class.java)

    /** Writes all final states that are due; stops at the first transaction that fails, as its cause may last. */
    suspend fun finishAll() {
        val dueByHomeZone = jobs.activeJobs.filter(::isDue).groupBy { it.record?.homeZone.orEmpty() }
        for ((homeZone, due) in dueByHomeZone) {
            for (batch in batches(due)) {
                val mayContinue = finish(homeZone, batch)
                if (!mayContinue) return
            }
        }
    }

    private fun isDue(job: Job): Boolean {
        if (job.unrecordedTerminalState == null) return false
        return job.record?.homeZone?.let(leadership::acquiredToken) != null
    }

    /** A job that has further keys to remove is in a batch of its own. */
    private fun batches(due: List<Job>): List<List<Job>> {
        val (large, small) = due.partition { (it.record?.dependencySegments ?: 0) > 0 }
        val size =
            minOf(store.client.rateLimiter.maxBackgroundChanges, store.limits.maxTransactionChanges, MAX_BATCH_JOBS)
        return small.chunked(size) + large.map(::listOf)
    }

    /**
     * Whether to go on with further batches. Some jobs of [batch] may have been cancelled while earlier batches were
     * written, so what ends them is decided only now, by their present state.
     */
    private suspend fun finish(homeZone: String, batch: List<Job>): Boolean {
        val leaderCondition = leadership.leadershipCondition(homeZone) ?: return true
        val ends = batch.filter(::isDue).mapNotNull { JobTransitions.finish(it, wallMs(), store.limits) }
        if (ends.isEmpty()) return true
        val change = ends.reduce(CompareAndSwap::plus).withCondition(leaderCondition)
        store.client.rateLimiter.acquireSpare(change.size)
        return when (val outcome = store.client.transact(change)) {
            is TransactionOutcome.Applied -> {
                log.debug("final states written keys={}", change.changes.map { it.key })
                store.replica.awaitRevision(outcome.revision, REPLICA_TIMEOUT_MS)
            }

            // Some job was cancelled or reassigned meanwhile; the next turn decides by what the replica then shows.
            is TransactionOutcome.Conflict -> store.replica.awaitRevision(outcome.revision, REPLICA_TIMEOUT_MS)

            is TransactionOutcome.Refused -> {
                if (outcome.isTooLarge) store.limits.reduceAfterRefusal(change.changes)
                false
            }

            is TransactionOutcome.Unknown -> false
        }
    }

    private companion object {
        /** How long to wait until the replica shows a transaction's outcome. */
        const val REPLICA_TIMEOUT_MS = 1_500L

        /** A larger batch would conflict more often with cancellations. */
        const val MAX_BATCH_JOBS = 8
    }
}
