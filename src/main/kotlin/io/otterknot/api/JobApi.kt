package io.otterknot.api

import io.otterknot.config.TeamSettings
import io.otterknot.http.HttpResponse
import io.otterknot.jobs.Job
import io.otterknot.jobs.JobTable
import io.otterknot.jobs.JobTransitions
import io.otterknot.partition.Partition
import io.otterknot.records.JobRecord
import io.otterknot.records.TerminalState
import io.otterknot.scheduling.PartitionChooser
import io.otterknot.scheduling.PartitionView
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.StoreReplica
import io.otterknot.store.TransactionOutcome
import io.otterknot.store.WriteLimits
import io.otterknot.wire.JobSpec
import io.otterknot.wire.JobStatus
import io.otterknot.wire.MachineType
import io.otterknot.wire.MalformedMessageException
import io.otterknot.wire.WireJson
import io.otterknot.wire.isJobId
import io.otterknot.wire.parseSubmission
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** What users ask: submit, poll, withdraw. */
class JobApi(
    private val client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val jobs: JobTable,
    private val partitions: Map<String, Partition>,
    private val views: () -> List<PartitionView>,
    private val types: () -> List<MachineType>?,
    private val teams: List<TeamSettings>,
    private val limits: WriteLimits,
    private val isolated: () -> Boolean,
    private val wallMs: () -> Long,
    private val random: Random,
) {
    private val log = LoggerFactory.getLogger(JobApi::class.java)

    fun ready(): HttpResponse = when {
        !replica.isLoaded || types() == null -> later("starting")
        isolated() -> later("cut off from the state service and from all other controllers")
        else -> HttpResponse(200, "{}".encodeToByteArray())
    }

    suspend fun submit(body: ByteArray): HttpResponse {
        val id = peekId(body)
        if (id != null) jobs[id]?.let { return current(id, 200) }
        if (!replica.isLoaded) return later("the jobs have not been read yet")
        val spec = try {
            parseSubmission(body)
        } catch (e: MalformedMessageException) {
            return refuse(id, 400, e.message.orEmpty())
        }
        val offered = types() ?: return later("the machine types are not known yet")
        impossible(spec, offered)?.let { return refuse(id, 422, it) }
        if (!spec.dependencies.isNullOrEmpty()) checkAwaited(spec)?.let { return it }
        return store(spec)
    }

    /** Only what was accepted may be awaited; another node may have accepted it a moment ago. Null: all is well. */
    private suspend fun checkAwaited(spec: JobSpec): HttpResponse? {
        if (!replica.awaitReadBarrier(BARRIER_MS)) return later(STATE_AWAY)
        jobs[spec.id]?.let { return tell(it, 200) }
        val unknown = spec.dependencies.orEmpty().firstOrNull { jobs[it] == null } ?: return null
        return refuse(spec.id, 422, "Awaits names $unknown, which was never accepted")
    }

    /** Brings the job in. What the state service refuses for its size is sent again in smaller values, if it can be. */
    private suspend fun store(spec: JobSpec): HttpResponse {
        val awaits = spec.dependencies.orEmpty()
        val record = JobRecord(
            spec = spec,
            // What waits for others is nobody's load yet.
            spans = PartitionChooser.deal(spec, if (awaits.all(::done)) views() else views().map { it.copy() }, random),
            submittedMs = wallMs(),
            nonce = random.nextLong().toULong().toString(36),
        )
        var tried = limits
        repeat(SIZE_TRIES) {
            val acceptance = JobTransitions.accept(record, tried) ?: return refuse(spec.id, 400, TOO_LONG)
            if (!client.rateLimiter.tryAcquire(acceptance.size, SUBMIT_WAIT_MS)) return later(TOO_MANY_CHANGES)
            val outcome = client.transact(acceptance)
            if (outcome !is TransactionOutcome.Refused || !outcome.isTooLarge) return stored(spec, record, outcome)
            // Several values may be refused for their number, which says nothing of what others write.
            if (acceptance.size == 1) limits.reduceAfterRefusal(acceptance.changes)
            tried = if (acceptance.size == 1) limits else tried.withSmallerValues()
        }
        return refuse(spec.id, 400, TOO_LONG)
    }

    private suspend fun stored(spec: JobSpec, record: JobRecord, outcome: TransactionOutcome): HttpResponse =
        when (outcome) {
            is TransactionOutcome.Applied -> accepted(spec)

            is TransactionOutcome.Conflict -> {
                val read = replica.awaitRevision(outcome.revision, REACH_MS)
                if (read) current(spec.id, 200) else later("the job is known; its state is being read")
            }

            is TransactionOutcome.Refused -> later(NO_CHANGES)

            is TransactionOutcome.Unknown -> {
                // The job may be stored now, later or never: only reading tells. By now it may even have ended.
                val job = if (replica.awaitReadBarrier(REACH_MS)) jobs[spec.id] else null
                val isOurs = job?.record?.nonce == record.nonce
                if (job == null) later(NO_ANSWER) else tell(job, if (isOurs) 201 else 200)
            }
        }

    suspend fun poll(id: String): HttpResponse {
        jobs[id]?.let { if (it.terminalState != null) return tell(it, 200) }
        if (!isJobId(id)) return unknown(id)
        return current(id, 200)
    }

    suspend fun withdraw(id: String): HttpResponse {
        if (!isJobId(id)) return unknown(id)
        repeat(TRIES) {
            if (jobs[id] == null && !replica.awaitReadBarrier(BARRIER_MS)) return later(STATE_AWAY)
            val job = jobs[id] ?: return unknown(id)
            // Decided and guarded in one step: while the cancellation waits for its turn, the job may end.
            val cancellation = JobTransitions.cancel(job, wallMs(), limits) ?: return tell(job, 200)
            if (!client.rateLimiter.tryAcquire(cancellation.size, SUBMIT_WAIT_MS)) return later(TOO_MANY_CHANGES)
            cancelled(id, cancellation)?.let { return it }
        }
        return later("the job is changing")
    }

    /** Sends a cancellation; the answer to its user, or null if the job is to be looked at again. */
    private suspend fun cancelled(id: String, cancellation: CompareAndSwap): HttpResponse? {
        when (val outcome = client.transact(cancellation)) {
            is TransactionOutcome.Applied -> {
                replica.awaitRevision(outcome.revision, REACH_MS)
                log.info("{} is cancelled", id)
                return status(JobStatus(id, "aborted"), 200)
            }

            is TransactionOutcome.Conflict -> {
                val read = replica.awaitRevision(outcome.revision, REACH_MS)
                return if (read) null else later("the state service is slow")
            }

            is TransactionOutcome.Refused -> {
                if (!outcome.isTooLarge) return later(NO_CHANGES)
                limits.reduceAfterRefusal(cancellation.changes)
                return null
            }

            is TransactionOutcome.Unknown -> return if (replica.awaitReadBarrier(REACH_MS)) null else later(NO_ANSWER)
        }
    }

    /** The state of a job as of now: a final one from memory, any other only once the replica is surely up to date. */
    private suspend fun current(id: String, code: Int): HttpResponse {
        jobs[id]?.let { if (it.terminalState != null) return tell(it, code) }
        if (!replica.awaitReadBarrier(BARRIER_MS)) return later(STATE_AWAY)
        val job = jobs[id] ?: return unknown(id)
        return tell(job, code)
    }

    private fun tell(job: Job, code: Int): HttpResponse = when (job.terminalState) {
        TerminalState.DONE -> status(JobStatus(job.id, "done", job.record?.taskCount, 0), code)

        TerminalState.CANCELLED -> status(JobStatus(job.id, "aborted"), code)

        null -> {
            val done = job.completedTasks.cardinality()
            val running = partitions.values.sumOf { it.runningTasks(job.id) }
            status(JobStatus(job.id, if (running > 0 || done > 0) "running" else "queued", done, running), code)
        }
    }

    /** A refusal that is final, given only if no node has accepted a job of this id. */
    private suspend fun refuse(id: String?, code: Int, why: String): HttpResponse {
        if (id != null && isJobId(id)) {
            if (!replica.awaitReadBarrier(BARRIER_MS)) return later(STATE_AWAY)
            jobs[id]?.let { return tell(it, 200) }
        }
        return HttpResponse.refusal(code, why)
    }

    private fun impossible(spec: JobSpec, offered: List<MachineType>): String? {
        val team = teams.firstOrNull { it.name == spec.team } ?: return "unknown team ${spec.team}"
        if ((team.cpusMax > 0 && spec.cores > team.cpusMax) || (team.gpusMax > 0 && spec.cards > team.gpusMax)) {
            return "one task needs more than the limit of team ${spec.team}"
        }
        val fits = offered.any {
            (spec.types == null || it.name in spec.types) && (spec.zone == null || spec.zone in it.zones) &&
                spec.cores <= it.cores && spec.memoryGb <= it.memoryGb && spec.cards <= it.cards
        }
        return if (fits) null else "a task fits no allowed machine type"
    }

    private fun peekId(body: ByteArray): String? = try {
        val fields = WireJson.parseToJsonElement(body.decodeToString()) as? JsonObject
        (fields?.get("Uid") as? JsonPrimitive)?.takeIf { it.isString }?.content
    } catch (e: SerializationException) {
        null
    }

    private fun done(id: String) = jobs[id]?.recordedTerminalState == TerminalState.DONE

    /**
     * The answer to a submission that was carried out a moment ago: what the replica shows of it, if it does already. A
     * job that awaits a cancelled one is accepted all the same, and cancelled with it.
     */
    private fun accepted(spec: JobSpec): HttpResponse {
        jobs[spec.id]?.let { return tell(it, 201) }
        val orphaned = spec.dependencies.orEmpty().any { jobs[it]?.terminalState == TerminalState.CANCELLED }
        return status(JobStatus(spec.id, if (orphaned) "aborted" else "queued"), 201)
    }

    private fun status(status: JobStatus, code: Int) = HttpResponse.json(code, JobStatus.serializer(), status)

    private fun unknown(id: String) = HttpResponse.refusal(404, "no job $id")

    /** An isolated node lets go of the connection too: nobody moves it, and here it would get 503 after 503. */
    private fun later(why: String) = HttpResponse.refusal(503, why, retryAfterS = 1, close = isolated())

    private companion object {
        const val SUBMIT_WAIT_MS = 1_000L
        const val REACH_MS = 1_200L
        const val BARRIER_MS = 1_500L
        const val TRIES = 4

        /** Each takes a quarter off the size of a value. */
        const val SIZE_TRIES = 6
        const val STATE_AWAY = "the state service is away"
        const val NO_ANSWER = "the state service did not answer"
        const val NO_CHANGES = "the state service does not take changes at the moment"
        const val TOO_MANY_CHANGES = "too many changes at the moment"
        const val TOO_LONG = "the description is too long, or Awaits names too many jobs"
    }
}
