package io.otterknot.api

import io.otterknot.api.JobRequestOutcome.Existing
import io.otterknot.api.JobRequestOutcome.NotFound
import io.otterknot.api.JobRequestOutcome.Unavailable
import io.otterknot.jobs.JobTransitions
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.TransactionOutcome
import io.otterknot.wire.JobState
import io.otterknot.wire.JobStatus
import io.otterknot.wire.isJobId
import org.slf4j.LoggerFactory

/** Cancels jobs at the request of users. */
internal class JobCanceller(
    private val store: JobStoreAccess,
    private val statusReader: JobStatusReader,
    private val wallMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(JobCanceller::class.java)

    /** Cancels the job unless it is already in a terminal state; the outcome shows the terminal state in both cases. */
    suspend fun cancel(id: String): JobRequestOutcome {
        if (!isJobId(id)) return NotFound(id)
        repeat(MAX_ATTEMPTS) {
            tryCancel(id)?.let { return it }
        }
        return Unavailable(UnavailableReason.CANCELLATION_ATTEMPTS_EXHAUSTED)
    }

    /** Makes one attempt; returns null if another is needed, see [send]. */
    private suspend fun tryCancel(id: String): JobRequestOutcome? {
        val jobs = store.jobs
        if (jobs[id] == null && !store.awaitCurrentReplica()) return Unavailable(UnavailableReason.STORE_UNREACHABLE)
        val job = jobs[id] ?: return NotFound(id)
        // The compare-and-swap condition is of the same snapshot as the decision: the job may end while the cancellation
        // waits for the rate limit.
        val cancellation = JobTransitions.cancel(job, wallMs(), store.limits) ?: return statusReader.existing(job)
        return send(id, cancellation)
    }

    /**
     * Writes [cancellation] to the store; returns null if the job changed meanwhile or if [cancellation] was too large,
     * so that it must be built again from the changed job or with lower limits.
     */
    private suspend fun send(id: String, cancellation: CompareAndSwap): JobRequestOutcome? {
        if (!store.awaitRateLimit(cancellation)) return Unavailable(UnavailableReason.RATE_LIMITED)
        return when (val outcome = store.client.transact(cancellation)) {
            is TransactionOutcome.Applied -> {
                store.awaitRevisionAfterWrite(outcome.revision)
                log.info("job={} cancelled by its user", id)
                Existing(JobStatus(id, JobState.CANCELLED))
            }

            is TransactionOutcome.Conflict ->
                retryIf(store.awaitRevisionAfterWrite(outcome.revision), UnavailableReason.REPLICA_BEHIND)

            is TransactionOutcome.Refused -> {
                if (outcome.isTooLarge) store.limits.reduceAfterRefusal(cancellation.changes)
                retryIf(outcome.isTooLarge, UnavailableReason.STORE_REFUSES_CHANGES)
            }

            is TransactionOutcome.Unknown ->
                retryIf(store.awaitCurrentReplicaAfterWrite(), UnavailableReason.OUTCOME_UNKNOWN)
        }
    }

    /** Returns null, for another attempt, if [condition] holds; if not, the user has to retry for reason [otherwise]. */
    private fun retryIf(condition: Boolean, otherwise: UnavailableReason): JobRequestOutcome? =
        if (condition) null else Unavailable(otherwise)

    private companion object {
        const val MAX_ATTEMPTS = 4
    }
}
