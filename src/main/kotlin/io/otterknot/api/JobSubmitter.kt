package io.otterknot.api

import io.otterknot.api.JobRequestOutcome.Created
import io.otterknot.api.JobRequestOutcome.Malformed
import io.otterknot.api.JobRequestOutcome.Unavailable
import io.otterknot.api.JobRequestOutcome.Unsatisfiable
import io.otterknot.jobs.JobTransitions
import io.otterknot.records.JobRecord
import io.otterknot.records.TerminalState
import io.otterknot.scheduling.PartitionChooser
import io.otterknot.scheduling.PartitionView
import io.otterknot.store.TransactionOutcome
import io.otterknot.wire.JobSpec
import io.otterknot.wire.JobState
import io.otterknot.wire.JobStatus
import io.otterknot.wire.MalformedMessageException
import io.otterknot.wire.isJobId
import io.otterknot.wire.parseSubmission
import io.otterknot.wire.peekSubmissionId
import kotlin.random.Random

/** Accepts submissions: checks them, assigns their tasks to partitions and stores each job id at most once. */
internal class JobSubmitter(
    private val store: JobStoreAccess,
    private val statusReader: JobStatusReader,
    private val admission: JobAdmission,
    private val partitionViews: () -> List<PartitionView>,
    private val wallMs: () -> Long,
    private val random: Random,
) {
    private val jobs = store.jobs

    suspend fun submit(body: ByteArray): JobRequestOutcome {
        val id = peekSubmissionId(body)
        if (id != null && jobs[id] != null) return statusReader.read(id)
        if (!store.replica.isLoaded) return Unavailable(UnavailableReason.JOBS_NOT_LOADED)
        val spec = try {
            parseSubmission(body)
        } catch (e: MalformedMessageException) {
            return refuse(id, Malformed(e.message.orEmpty()))
        }
        return checkAdmission(spec) ?: checkDependencies(spec) ?: create(spec)
    }

    /** Returns the outcome if the job could never run or cannot be checked yet, or null if it could run. */
    private suspend fun checkAdmission(spec: JobSpec): JobRequestOutcome? {
        val offered = admission.offeredTypes ?: return Unavailable(UnavailableReason.MACHINE_TYPES_UNKNOWN)
        return admission.findRejectionReason(spec, offered)?.let { refuse(spec.id, Unsatisfiable(it)) }
    }

    /**
     * Returns the outcome if a dependency was not accepted or the job exists already, or null if all dependencies were
     * accepted. Waits for a read barrier, since another controller may have accepted a dependency a moment ago.
     */
    private suspend fun checkDependencies(spec: JobSpec): JobRequestOutcome? {
        if (spec.dependencies.isNullOrEmpty()) return null
        if (!store.awaitCurrentReplica()) return Unavailable(UnavailableReason.STORE_UNREACHABLE)
        jobs[spec.id]?.let { return statusReader.existing(it) }
        val unknown = spec.dependencies.firstOrNull { jobs[it] == null } ?: return null
        return refuse(spec.id, Unsatisfiable("Awaits names $unknown, which was never accepted"))
    }

    /**
     * Returns [refusal] only if no controller has accepted a job with this [id]: users take a refusal as final. If a
     * job with this id exists, returns its status.
     */
    private suspend fun refuse(id: String?, refusal: JobRequestOutcome): JobRequestOutcome {
        if (id == null || !isJobId(id)) return refusal
        if (!store.awaitCurrentReplica()) return Unavailable(UnavailableReason.STORE_UNREACHABLE)
        return jobs[id]?.let(statusReader::existing) ?: refusal
    }

    /** Stores the job. If the store refuses it for its size, retries with smaller values where it can be divided. */
    private suspend fun create(spec: JobSpec): JobRequestOutcome {
        val record = newRecord(spec)
        var limits = store.limits
        repeat(MAX_SIZE_ATTEMPTS) {
            val creation = JobTransitions.accept(record, limits) ?: return refuse(spec.id, Malformed(TOO_LARGE))
            if (!store.awaitRateLimit(creation)) return Unavailable(UnavailableReason.RATE_LIMITED)
            val outcome = store.client.transact(creation)
            if (outcome !is TransactionOutcome.Refused || !outcome.isTooLarge) return evaluate(outcome, record, spec)
            if (creation.size == 1) {
                store.limits.reduceAfterRefusal(creation.changes)
                limits = store.limits
            } else {
                // The refusal may be for the number of values, so it does not lower the size limit of other writers.
                limits = limits.withSmallerValues()
            }
        }
        return refuse(spec.id, Malformed(TOO_LARGE))
    }

    private fun newRecord(spec: JobSpec): JobRecord {
        val canRunNow = spec.dependencies.orEmpty().all { jobs[it]?.recordedTerminalState == TerminalState.DONE }
        // A job with unfinished dependencies adds no load yet. A copy of the views keeps its tasks out of the loads that
        // later jobs are placed by.
        val views = if (canRunNow) partitionViews() else partitionViews().map { it.copy() }
        return JobRecord(
            spec = spec,
            spans = PartitionChooser.distribute(spec, views, random),
            submittedMs = wallMs(),
            nonce = random.nextLong().toULong().toString(radix = 36),
        )
    }

    private suspend fun evaluate(outcome: TransactionOutcome, record: JobRecord, spec: JobSpec): JobRequestOutcome =
        when (outcome) {
            is TransactionOutcome.Applied -> Created(statusAfterCreation(spec))
            is TransactionOutcome.Conflict -> readConflicting(spec.id, outcome.revision)
            is TransactionOutcome.Refused -> Unavailable(UnavailableReason.STORE_REFUSES_CHANGES)
            is TransactionOutcome.Unknown -> resolveUnknown(record, spec.id)
        }

    /** Reads the job that exists already: the submission is a retry, or another user has chosen the same id. */
    private suspend fun readConflicting(id: String, revision: Long): JobRequestOutcome {
        if (!store.awaitRevisionAfterWrite(revision)) return Unavailable(UnavailableReason.JOB_NOT_LOADED)
        return statusReader.read(id)
    }

    /**
     * Reads whether the job was stored, after a transaction with an unknown outcome: it may be applied now, later or
     * never. The nonce shows whether the stored job is the one of this request; it may even have ended since.
     */
    private suspend fun resolveUnknown(record: JobRecord, id: String): JobRequestOutcome {
        val job = if (store.awaitCurrentReplicaAfterWrite()) jobs[id] else null
        return when {
            job == null -> Unavailable(UnavailableReason.OUTCOME_UNKNOWN)
            job.record?.nonce == record.nonce -> Created(statusReader.statusOf(job))
            else -> statusReader.existing(job)
        }
    }

    /**
     * Returns the status of a job that was just stored, which the replica may not show yet. A job that depends on a
     * cancelled job is accepted, but counts as cancelled from the beginning.
     */
    private fun statusAfterCreation(spec: JobSpec): JobStatus {
        jobs[spec.id]?.let { return statusReader.statusOf(it) }
        val isCancelled = spec.dependencies.orEmpty().any { jobs[it]?.terminalState == TerminalState.CANCELLED }
        return JobStatus(spec.id, if (isCancelled) JobState.CANCELLED else JobState.QUEUED)
    }

    private companion object {
        /** Each attempt reduces the size of a value by a quarter. */
        const val MAX_SIZE_ATTEMPTS = 6
        const val TOO_LARGE =
            "the job is too large to be stored: shorten its texts or the list of jobs in Awaits"
    }
}
