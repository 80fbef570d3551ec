package io.otterknot.controller

import io.otterknot.jobs.JobTable
import io.otterknot.partition.Partition
import io.otterknot.records.CompletionSegmentRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.TaskBitmaps
import io.otterknot.records.encodeRecord
import io.otterknot.scheduling.PartitionJob
import io.otterknot.store.PendingWrite
import io.otterknot.store.WriteLimits
import java.util.BitSet

/**
 * Decides how newly completed tasks are written. Completions of all jobs of a partition go to one segment until it is
 * full. Entries of finished jobs are dropped when the segment changes next; a segment that has only such entries is
 * removed. Owns no state: recorded completions come from the job table, unrecorded ones from the partition.
 */
class CompletionSegments(private val jobs: JobTable, private val limits: WriteLimits) : PartitionWriteSource {
    /** Returns the writes that make all completions of [partition] durable, then the removals of obsolete segments. */
    override fun writes(partition: Partition): List<PendingWrite> {
        val segments = jobs.completionSegments(StoreKeys.completionSegment(partition.zone, ""))
        val additions = additions(partition, segments)
        val writtenKeys = additions.mapTo(HashSet()) { it.key }
        val removedKeys = segments.filter { (key, record) -> key !in writtenKeys && isObsolete(record) }.keys
        return additions + removedKeys.map { PendingWrite(it, null) }
    }

    /** Whether all entries of [record] belong to finished jobs. */
    private fun isObsolete(record: CompletionSegmentRecord): Boolean =
        (record.bitmaps.keys + record.fineBitmaps?.keys.orEmpty()).none(jobs::isBitmapNeeded)

    private fun additions(partition: Partition, segments: Map<String, CompletionSegmentRecord>): List<PendingWrite> {
        val chunks = changedChunks(partition)
        if (chunks.isEmpty()) return emptyList()
        val writes = ArrayList<PendingWrite>()
        var number = lastNumber(partition, segments.keys)
        var segment = SegmentBuilder(segments[key(partition, number)] ?: CompletionSegmentRecord())
        for (chunk in chunks) {
            if (!segment.add(chunk)) {
                if (segment.isChanged) writes.add(segment.toWrite(key(partition, number)))
                number++
                segment = SegmentBuilder(CompletionSegmentRecord())
                segment.add(chunk)
            }
        }
        writes.add(segment.toWrite(key(partition, number)))
        return writes
    }

    /** The range of tasks of one job that is stored in one entry of a segment. */
    private class Chunk(val job: PartitionJob, val index: Int) {
        val size = TaskBitmaps.chunkSize(job.spec.tasks)
        val name = TaskBitmaps.chunkName(job.id, index)
    }

    private fun changedChunks(partition: Partition): List<Chunk> = partition.jobs
        .filterNot { it.unrecordedCompletions.isEmpty }
        .flatMap { job ->
            val last = (job.unrecordedCompletions.length() - 1) / TaskBitmaps.chunkSize(job.spec.tasks)
            (0..last).map { Chunk(job, it) }
        }

    private fun key(partition: Partition, number: Int) =
        StoreKeys.completionSegment(partition.zone, "${partition.fencingToken}-$number")

    private fun lastNumber(partition: Partition, keys: Set<String>): Int {
        val prefix = StoreKeys.completionSegment(partition.zone, "${partition.fencingToken}-")
        return keys.filter { it.startsWith(prefix) }.maxOfOrNull { it.removePrefix(prefix).toInt() } ?: 0
    }

    /** Builds a segment, starting with the entries of [record] whose jobs are not finished. */
    private inner class SegmentBuilder(record: CompletionSegmentRecord) {
        private val bitmaps = record.bitmaps.filterKeys(jobs::isBitmapNeeded).toMutableMap()
        private val fineBitmaps = record.fineBitmaps.orEmpty().filterKeys(jobs::isBitmapNeeded).toMutableMap()

        var isChanged = false
            private set

        /**
         * Merges the unrecorded completions of [chunk] into its entry. Returns false and changes nothing if the segment
         * would become too large; an empty segment accepts a chunk of any size.
         */
        fun add(chunk: Chunk): Boolean {
            val entries = if (chunk.size == TaskBitmaps.CHUNK_TASKS) bitmaps else fineBitmaps
            val tasks = chunk.job.unrecordedCompletions.clone() as BitSet
            entries[chunk.name]?.let { TaskBitmaps.decodeInto(it, chunk.index, tasks, chunk.size) }
            val text = TaskBitmaps.encode(tasks, chunk.index, chunk.size)
            if (!fits(chunk, text, entries[chunk.name])) return false
            entries[chunk.name] = text
            isChanged = true
            return true
        }

        private fun fits(chunk: Chunk, text: String, replaced: String?): Boolean {
            if (bitmaps.isEmpty() && fineBitmaps.isEmpty()) return true
            val replacedBytes = replaced?.let { entryBytes(chunk.name, it) } ?: 0
            return bytes() - replacedBytes + entryBytes(chunk.name, text) <= limits.maxRecordBytes
        }

        fun toWrite(key: String): PendingWrite {
            val record = CompletionSegmentRecord(bitmaps, fineBitmaps.ifEmpty { null })
            return PendingWrite(key, encodeRecord(CompletionSegmentRecord.serializer(), record))
        }

        private fun bytes(): Int = listOf(bitmaps, fineBitmaps).sumOf { entries ->
            entries.entries.sumOf { entryBytes(it.key, it.value) }
        }

        private fun entryBytes(name: String, text: String): Int = name.length + text.length + ENTRY_OVERHEAD_BYTES
    }

    private companion object {
        /** The JSON syntax around the name and the text of an entry: four quotes, a colon and a comma. */
        const val ENTRY_OVERHEAD_BYTES = 6
    }
}
