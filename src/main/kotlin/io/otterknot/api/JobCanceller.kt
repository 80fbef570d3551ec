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

/** Cancels jobs for their users. */
internal class JobCanceller(
    private val store: JobStoreAccess,
    private val statusReader: JobStatusReader,
    private val wallMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(JobCanceller::class.java)

    /** Cancels the job, unless it has ended already; either way, its terminal state is the outcome. */
    suspend fun cancel(id: String): JobRequestOutcome {
        if (!isJobId(id)) return NotFound(id)
        repeat(MAX_ATTEMPTS) {
            tryCancel(id)?.let { return it }
        }
        return Unavailable(UnavailableReason.JOB_CHANGING)
    }

    /** Null: the job has changed meanwhile, so that the cancellation has to be decided anew. */
    private suspend fun tryCancel(id: String): JobRequestOutcome? {
        val jobs = store.jobs
        if (jobs[id] == null && !store.awaitCurrentReplica()) return Unavailable(UnavailableReason.STORE_AWAY)
        val job = jobs[id] ?: return NotFound(id)
        // Decided and guarded in one step: while the cancellation waits for its turn, the job may end.
        val cancellation = JobTransitions.cancel(job, wallMs(), store.limits) ?: return statusReader.existing(job)
        return send(id, cancellation)
    }

    /** Null: the job has changed meanwhile, or [cancellation] was too large and has to be made smaller. */
    private suspend fun send(id: String, cancellation: CompareAndSwap): JobRequestOutcome? {
        if (!store.awaitTurn(cancellation)) return Unavailable(UnavailableReason.RATE_LIMITED)
        return when (val outcome = store.client.transact(cancellation)) {
            is TransactionOutcome.Applied -> {
                store.awaitRevisionAfterWrite(outcome.revision)
                log.info("job={} cancelled by its user", id)
                Existing(JobStatus(id, JobState.CANCELLED))
            }

            is TransactionOutcome.Conflict ->
                retryIf(store.awaitRevisionAfterWrite(outcome.revision), UnavailableReason.STORE_SLOW)

            is TransactionOutcome.Refused -> {
                if (outcome.isTooLarge) store.limits.reduceAfterRefusal(cancellation.changes)
                retryIf(outcome.isTooLarge, UnavailableReason.STORE_REFUSES_CHANGES)
            }

            is TransactionOutcome.Unknown ->
                retryIf(store.awaitCurrentReplicaAfterWrite(), UnavailableReason.STORE_SILENT)
        }
    }

    /** Null, for another attempt, if [condition] holds; otherwise the user has to repeat the request. */
    private fun retryIf(condition: Boolean, otherwise: UnavailableReason): JobRequestOutcome? =
        if (condition) null else Unavailable(otherwise)

    private companion object {
        const val MAX_ATTEMPTS = 4
    }
}
