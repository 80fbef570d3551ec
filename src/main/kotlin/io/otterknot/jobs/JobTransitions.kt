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
 * All changes that a job's key can go through: accepted, handed over, and one end. Each function looks at the job and
 * takes the guard from the same snapshot, in one step; nothing else writes the key of a job. A job whose outcome is
 * known has no transition left, so a final state is never replaced.
 */
object JobTransitions {
    /**
     * Brings a job in: its own key and, if the jobs that it awaits do not fit there, keys with those; all in one
     * transaction, so that it is never there without them. Null: more than a transaction holds.
     */
    fun accept(record: JobRecord, limits: WriteLimits): CompareAndSwap? {
        val spec = record.spec ?: return null
        val key = StoreKeys.job(spec.id)
        val whole = create(key, encode(record))
        if (limits.fits(whole)) return whole
        val pieces = pieces(spec.dependencies ?: return null, limits.maxValueBytes)
        val main = create(key, encode(record.copy(spec = spec.copy(dependencies = null), awaitKeys = pieces.size)))
        val lists = pieces.mapIndexed { number, piece ->
            create(
                StoreKeys.dependencySegment(spec.id, number),
                encodeRecord(DependencySegmentRecord.serializer(), piece),
            )
        }
        val all = lists.reduce(CompareAndSwap::plus) + main
        val bytes = all.changes.sumOf { it.key.length + it.valueBytes }
        val fits = limits.fits(main) && all.size <= limits.maxTransactionChanges && bytes <= limits.maxTransactionBytes
        return all.takeIf { fits }
    }

    /** Its user cancels it. Null: it has an outcome already, or was never accepted. */
    fun cancel(job: Job, wallMs: Long, limits: WriteLimits): CompareAndSwap? =
        if (job.outcome == null) end(job, TerminalState.CANCELLED, wallMs, limits) else null

    /**
     * Records the outcome that follows from what is durable: done once all its tasks are, cancelled once a job that it
     * awaits is. Null: nothing follows yet, or its end is recorded.
     */
    fun finish(job: Job, wallMs: Long, limits: WriteLimits): CompareAndSwap? =
        job.unrecordedEnd?.let { end(job, it, wallMs, limits) }

    /** Gives [tasks] to the partition of [zone]. Null: it has an outcome already, or would be cut into too many spans. */
    fun handOver(job: Job, tasks: BitSet, zone: String): CompareAndSwap? {
        val before = job.stored ?: return null
        val record = before.value ?: return null
        if (record.spec == null || job.outcome != null) return null
        val spans = TaskSpans.move(record.spans, tasks, zone)
        if (spans.size > MAX_SPANS) return null
        return CompareAndSwap.put(before, encode(record.copy(spans = spans)))
    }

    /**
     * The keys with what it awaited go with the same transaction, as far as it may hold them; what is left of them says
     * nothing any more, since the job is final.
     */
    private fun end(job: Job, final: TerminalState, wallMs: Long, limits: WriteLimits): CompareAndSwap? {
        val before = job.stored ?: return null
        val record = before.value ?: return null
        val ended = JobRecord(final = final, tasks = record.spec?.tasks ?: record.tasks, endedMs = wallMs)
        val lists = minOf(record.awaitKeys ?: 0, limits.maxTransactionChanges - 1)
        return CompareAndSwap.put(before, encode(ended)).alsoRemove(
            List(lists) {
                StoreKeys.dependencySegment(job.id, it)
            },
        )
    }

    private fun create(key: String, value: JsonElement) = CompareAndSwap.put(Snapshot.absent(key), value)

    private fun encode(record: JobRecord) = encodeRecord(JobRecord.serializer(), record)

    private fun pieces(jobs: List<String>, valueBytes: Int): List<DependencySegmentRecord> {
        val pieces = ArrayList<DependencySegmentRecord>()
        var piece = ArrayList<String>()
        var bytes = RECORD_OVERHEAD_BYTES
        for (job in jobs) {
            if (bytes + job.length > valueBytes && piece.isNotEmpty()) {
                pieces.add(DependencySegmentRecord.of(piece))
                piece = ArrayList()
                bytes = RECORD_OVERHEAD_BYTES
            }
            piece.add(job)
            bytes += job.length
        }
        return pieces + DependencySegmentRecord.of(piece)
    }

    /** `{"i":""}` and a little more. */
    private const val RECORD_OVERHEAD_BYTES = 16

    /** A job that is cut into more spans than this stays where it is: its value would become too large. */
    private const val MAX_SPANS = 48
}
