package io.otterknot.jobs

import io.otterknot.records.DependencySegmentRecord
import io.otterknot.records.JobRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.TaskSpans
import io.otterknot.records.TerminalState
import io.otterknot.records.encodeRecord
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.Snapshot
import io.otterknot.store.WriteLimits
import io.otterknot.store.valueBytes
import kotlinx.serialization.json.JsonElement
import java.util.BitSet

/**
 * All transitions of a job's key: acceptance, reassignment of tasks, and one terminal state. Each function takes the
 * job's state and the version condition of the transaction from the same snapshot in one step, and nothing else writes
 * the key of a job. A job with a terminal state has no further transition, so that state is never replaced.
 */
object JobTransitions {
    /**
     * Returns the transaction that creates the job, or null if the job does not fit in one transaction. Dependencies
     * that do not fit in the job's own key are written to segments in the same transaction, so that the job never
     * exists without them.
     */
    fun accept(record: JobRecord, limits: WriteLimits): CompareAndSwap? {
        val spec = record.spec ?: return null
        val unsegmented = create(StoreKeys.job(spec.id), encode(record))
        if (limits.fits(unsegmented)) return unsegmented
        val dependencies = spec.dependencies ?: return null
        return acceptWithSegments(record, splitIntoSegments(dependencies, limits.maxValueBytes), limits)
    }

    /**
     * Returns the transaction that cancels the job for its user, or null if the job has a terminal state already or was
     * never accepted.
     */
    fun cancel(job: Job, wallMs: Long, limits: WriteLimits): CompareAndSwap? =
        if (job.terminalState == null) end(job, TerminalState.CANCELLED, wallMs, limits) else null

    /**
     * Returns the transaction that records the terminal state that follows from the stored data: done once all tasks
     * are done, cancelled once a job that this one depends on is cancelled. Returns null if no terminal state follows
     * yet or it is recorded already.
     */
    fun finish(job: Job, wallMs: Long, limits: WriteLimits): CompareAndSwap? =
        job.unrecordedTerminalState?.let { end(job, it, wallMs, limits) }

    /**
     * Returns the transaction that assigns [tasks] to the partition of [zone], or null if the job was never accepted,
     * has a terminal state, or would have more than [MAX_SPANS] spans of tasks.
     */
    fun reassign(job: Job, tasks: BitSet, zone: String): CompareAndSwap? {
        val snapshot = job.snapshot ?: return null
        val record = snapshot.value ?: return null
        if (record.spec == null || job.terminalState != null) return null
        val spans = TaskSpans.reassign(record.spans, tasks, zone)
        if (spans.size > MAX_SPANS) return null
        return CompareAndSwap.put(snapshot, encode(record.copy(spans = spans)))
    }

    private fun acceptWithSegments(
        record: JobRecord,
        segments: List<DependencySegmentRecord>,
        limits: WriteLimits,
    ): CompareAndSwap? {
        val spec = record.spec ?: return null
        val shortened = record.copy(spec = spec.copy(dependencies = null), dependencySegments = segments.size)
        val jobChange = create(StoreKeys.job(spec.id), encode(shortened))
        val segmentChanges = segments.mapIndexed { number, segment ->
            val value = encodeRecord(DependencySegmentRecord.serializer(), segment)
            create(StoreKeys.dependencySegment(spec.id, number), value)
        }
        val transaction = segmentChanges.reduce(CompareAndSwap::plus) + jobChange
        return transaction.takeIf { limits.fits(jobChange) && fitsOneTransaction(transaction, limits) }
    }

    private fun fitsOneTransaction(transaction: CompareAndSwap, limits: WriteLimits): Boolean {
        val bytes = transaction.changes.sumOf { it.key.length + it.valueBytes }
        return transaction.size <= limits.maxTransactionChanges && bytes <= limits.maxTransactionBytes
    }

    /**
     * Records [state] and removes as many segments of the job's dependencies as the transaction may hold. Segments that
     * remain have no meaning, since the job has ended.
     */
    private fun end(job: Job, state: TerminalState, wallMs: Long, limits: WriteLimits): CompareAndSwap? {
        val snapshot = job.snapshot ?: return null
        val record = snapshot.value ?: return null
        val taskCount = record.spec?.tasks ?: record.taskCount
        val ended = JobRecord(terminalState = state, taskCount = taskCount, endedMs = wallMs)
        val removedSegments = minOf(record.dependencySegments ?: 0, limits.maxTransactionChanges - 1)
        return CompareAndSwap.put(snapshot, encode(ended))
            .alsoRemove(List(removedSegments) { StoreKeys.dependencySegment(job.id, it) })
    }

    private fun create(key: String, value: JsonElement) = CompareAndSwap.put(Snapshot.absent(key), value)

    private fun encode(record: JobRecord) = encodeRecord(JobRecord.serializer(), record)

    private fun splitIntoSegments(jobIds: List<String>, maxBytes: Int): List<DependencySegmentRecord> {
        val segments = ArrayList<DependencySegmentRecord>()
        var segment = ArrayList<String>()
        var bytes = SEGMENT_OVERHEAD_BYTES
        for (id in jobIds) {
            if (bytes + id.length > maxBytes && segment.isNotEmpty()) {
                segments.add(DependencySegmentRecord.of(segment))
                segment = ArrayList()
                bytes = SEGMENT_OVERHEAD_BYTES
            }
            segment.add(id)
            bytes += id.length
        }
        return segments + DependencySegmentRecord.of(segment)
    }

    /** Bytes of `{"i":""}`, rounded up. */
    private const val SEGMENT_OVERHEAD_BYTES = 16

    /** The most spans of one job: with more, its value would become too large, so its tasks are not reassigned. */
    private const val MAX_SPANS = 48
}
