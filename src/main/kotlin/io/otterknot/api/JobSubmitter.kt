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

/** Accepts submissions: checks them, assigns their tasks to partitions and stores them, each job id once. */
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
        if (!store.replica.isLoaded) return Unavailable(UnavailableReason.JOBS_NOT_READ)
        val spec = try {
            parseSubmission(body)
        } catch (e: MalformedMessageException) {
            return refuse(id, Malformed(e.message.orEmpty()))
        }
        return checkAdmission(spec) ?: checkDependencies(spec) ?: create(spec)
    }

    /** Null: the job could run. */
    private suspend fun checkAdmission(spec: JobSpec): JobRequestOutcome? {
        val offered = admission.offeredTypes ?: return Unavailable(UnavailableReason.MACHINE_TYPES_UNKNOWN)
        return admission.findObstacle(spec, offered)?.let { refuse(spec.id, Unsatisfiable(it)) }
    }

    /** Only accepted jobs may be depended on; another controller may have accepted one a moment ago. Null: they are. */
    private suspend fun checkDependencies(spec: JobSpec): JobRequestOutcome? {
        if (spec.dependencies.isNullOrEmpty()) return null
        if (!store.awaitCurrentReplica()) return Unavailable(UnavailableReason.STORE_AWAY)
        jobs[spec.id]?.let { return statusReader.existing(it) }
        val unknown = spec.dependencies.firstOrNull { jobs[it] == null } ?: return null
        return refuse(spec.id, Unsatisfiable("Awaits names $unknown, which was never accepted"))
    }

    /** A refusal is final, so it is given only if no controller has accepted a job of this id. */
    private suspend fun refuse(id: String?, refusal: JobRequestOutcome): JobRequestOutcome {
        if (id == null || !isJobId(id)) return refusal
        if (!store.awaitCurrentReplica()) return Unavailable(UnavailableReason.STORE_AWAY)
        return jobs[id]?.let(statusReader::existing) ?: refusal
    }

    /** Stores the job. What the store refuses for its size is sent again in smaller values, if it can be divided. */
    private suspend fun create(spec: JobSpec): JobRequestOutcome {
        val record = newRecord(spec)
        var limits = store.limits
        repeat(MAX_SIZE_ATTEMPTS) {
            val creation = JobTransitions.accept(record, limits) ?: return refuse(spec.id, Malformed(TOO_LONG))
            if (!store.awaitTurn(creation)) return Unavailable(UnavailableReason.RATE_LIMITED)
            val outcome = store.client.transact(creation)
            if (outcome !is TransactionOutcome.Refused || !outcome.isTooLarge) return evaluate(outcome, record, spec)
            if (creation.size == 1) {
                store.limits.reduceAfterRefusal(creation.changes)
                limits = store.limits
            } else {
                // Several values may be refused for their number, which says nothing of what others write.
                limits = limits.withSmallerValues()
            }
        }
        return refuse(spec.id, Malformed(TOO_LONG))
    }

    private fun newRecord(spec: JobSpec): JobRecord {
        val canRunNow = spec.dependencies.orEmpty().all { jobs[it]?.recordedTerminalState == TerminalState.DONE }
        // A job that waits for others is no load yet: the choice must not raise the loads that later ones are based on.
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
            is TransactionOutcome.Unknown -> findOut(record, spec.id)
        }

    /** The job exists: this is an idempotent request, or another user has chosen the same id. */
    private suspend fun readConflicting(id: String, revision: Long): JobRequestOutcome {
        if (!store.awaitRevisionAfterWrite(revision)) return Unavailable(UnavailableReason.JOB_NOT_READ)
        return statusReader.read(id)
    }

    /** The job may be stored now, later or never: only reading tells. By now it may even have ended. */
    private suspend fun findOut(record: JobRecord, id: String): JobRequestOutcome {
        val job = if (store.awaitCurrentReplicaAfterWrite()) jobs[id] else null
        return when {
            job == null -> Unavailable(UnavailableReason.STORE_SILENT)
            job.record?.nonce == record.nonce -> Created(statusReader.statusOf(job))
            else -> statusReader.existing(job)
        }
    }

    /** The replica may not show the job yet. One that depends on a cancelled job is accepted, and cancelled with it. */
    private fun statusAfterCreation(spec: JobSpec): JobStatus {
        jobs[spec.id]?.let { return statusReader.statusOf(it) }
        val isCancelled = spec.dependencies.orEmpty().any { jobs[it]?.terminalState == TerminalState.CANCELLED }
        return JobStatus(spec.id, if (isCancelled) JobState.CANCELLED else JobState.QUEUED)
    }

    private companion object {
        /** Each attempt takes a quarter off the size of a value. */
        const val MAX_SIZE_ATTEMPTS = 6
        const val TOO_LONG = "the description is too long, or Awaits names too many jobs"
    }
}
