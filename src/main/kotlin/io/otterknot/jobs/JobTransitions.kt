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
 * All transitions of a job's key: accepted, tasks reassigned, and one terminal state. Each function reads the job and
 * takes the guard from the same snapshot in one step, and nothing else writes the key of a job. A job with a terminal
 * state has no transition left, so that state is never replaced.
 */
object JobTransitions {
    /**
     * Creates the job. If its dependencies do not fit in its own key, they go to segments of their own in the same
     * transaction, so that the job never exists without them. Null: it does not fit in one transaction.
     */
    fun accept(record: JobRecord, limits: WriteLimits): CompareAndSwap? {
        val spec = record.spec ?: return null
        val whole = create(StoreKeys.job(spec.id), encode(record))
        if (limits.fits(whole)) return whole
        val dependencies = spec.dependencies ?: return null
        return acceptWithSegments(record, splitIntoSegments(dependencies, limits.maxValueBytes), limits)
    }

    /** Cancels the job for its user. Null: it has a terminal state already, or was never accepted. */
    fun cancel(job: Job, wallMs: Long, limits: WriteLimits): CompareAndSwap? =
        if (job.terminalState == null) end(job, TerminalState.CANCELLED, wallMs, limits) else null

    /**
     * Records the terminal state that follows from what is durable: done once all tasks are, cancelled once a job that
     * this one depends on is. Null: nothing follows yet, or the terminal state is recorded.
     */
    fun finish(job: Job, wallMs: Long, limits: WriteLimits): CompareAndSwap? =
        job.unrecordedTerminalState?.let { end(job, it, wallMs, limits) }

    /**
     * Assigns [tasks] to the partition of [zone]. Null: the job has a terminal state, or its tasks would be divided
     * into too many spans.
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
        val main = create(StoreKeys.job(spec.id), encode(shortened))
        val segmentChanges = segments.mapIndexed { number, segment ->
            val value = encodeRecord(DependencySegmentRecord.serializer(), segment)
            create(StoreKeys.dependencySegment(spec.id, number), value)
        }
        val all = segmentChanges.reduce(CompareAndSwap::plus) + main
        return all.takeIf { limits.fits(main) && fitsOneTransaction(all, limits) }
    }

    private fun fitsOneTransaction(transaction: CompareAndSwap, limits: WriteLimits): Boolean {
        val bytes = transaction.changes.sumOf { it.key.length + it.valueBytes }
        return transaction.size <= limits.maxTransactionChanges && bytes <= limits.maxTransactionBytes
    }

    /**
     * Records [state] and removes the segments of the job's dependencies, as many as the transaction may hold: what is
     * left of them has no meaning, since the job has ended.
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

    /** The most spans of one job; with more, its value would become too large, so its tasks stay where they are. */
    private const val MAX_SPANS = 48
}
