package io.otterknot.controller

import io.otterknot.jobs.Job
import io.otterknot.jobs.JobTable
import io.otterknot.jobs.JobTransitions
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.ratelimit.RateLimiter
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.StoreReplica
import io.otterknot.store.TransactionOutcome
import io.otterknot.store.WriteLimits
import org.slf4j.LoggerFactory

/**
 * Writes the final states of jobs. The owner of a job's home partition makes it final once the completions of all its
 * tasks are durable, or once a job that it awaits is cancelled; users are told of the latter without waiting for it.
 */
class JobFinalizer(
    private val client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val jobs: JobTable,
    private val ownership: PartitionLeadership,
    private val budget: RateLimiter,
    private val limits: WriteLimits,
    private val wallMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(JobFinalizer::class.java)

    /** Writes all that are due, until a transaction fails. */
    suspend fun finishAll() {
        for ((homeZone, ended) in jobs.activeJobs.filter(::isDue).groupBy { it.record?.homeZone.orEmpty() }) {
            for (batch in batches(ended)) if (!finish(homeZone, batch)) return
        }
    }

    private fun isDue(job: Job): Boolean {
        if (job.unrecordedTerminalState == null) return false
        return job.record?.homeZone?.let(ownership::acquiredToken) != null
    }

    /** A job that has further keys to remove is in a batch of its own. */
    private fun batches(ended: List<Job>): List<List<Job>> {
        val (large, small) = ended.partition { (it.record?.awaitKeys ?: 0) > 0 }
        return small.chunked(minOf(budget.maxBackgroundChanges, limits.maxTransactionChanges, MAX_BATCH)) +
            large.map(::listOf)
    }

    /**
     * Whether to go on with further batches. Some of [chosen] may have been cancelled while earlier batches were
     * written; what ends them is decided only now, on what they are now.
     */
    private suspend fun finish(homeZone: String, chosen: List<Job>): Boolean {
        val owner = ownership.leadershipCondition(homeZone) ?: return true
        val ends = chosen.filter(::isDue).mapNotNull { JobTransitions.finish(it, wallMs(), limits) }
        if (ends.isEmpty()) return true
        val change = ends.reduce(CompareAndSwap::plus).withCondition(owner)
        budget.acquireSpare(change.size)
        return when (val outcome = client.transact(change)) {
            is TransactionOutcome.Applied -> {
                log.debug("done or cancelled: {}", change.changes.map { it.key })
                replica.awaitRevision(outcome.revision, REACH_MS)
            }

            // Some job was cancelled or handed on meanwhile; what the replica then shows is tried again.
            is TransactionOutcome.Conflict -> replica.awaitRevision(outcome.revision, REACH_MS)

            is TransactionOutcome.Refused -> {
                if (outcome.isTooLarge) limits.reduceAfterRefusal(change.changes)
                false
            }

            is TransactionOutcome.Unknown -> false
        }
    }

    private companion object {
        const val REACH_MS = 1_500L
        const val MAX_BATCH = 8
    }
}
