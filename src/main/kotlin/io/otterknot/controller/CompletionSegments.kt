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
 * full; entries of finished jobs are dropped with the segment's next change, and a segment that has none but these is
 * removed. Owns no state: what is stored comes from the job table, what is not yet from the partition.
 */
class CompletionSegments(private val jobs: JobTable, private val limits: WriteLimits) : PartitionWriteSource {
    /** The writes that make all completions of [partition] durable, then those that remove obsolete segments. */
    override fun writes(partition: Partition): List<PendingWrite> {
        val segments = jobs.completionSegments(StoreKeys.completionSegment(partition.zone, ""))
        val additions = additions(partition, segments)
        val writtenKeys = additions.mapTo(HashSet()) { it.key }
        val removedKeys = segments.filter { (key, record) -> key !in writtenKeys && isObsolete(record) }.keys
        return additions + removedKeys.map { PendingWrite(it, null) }
    }

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

    /** The tasks of one job that share an entry of a segment. */
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

    /** A segment under construction, which begins with what [record] says of jobs that are not finished. */
    private inner class SegmentBuilder(record: CompletionSegmentRecord) {
        private val bitmaps = record.bitmaps.filterKeys(jobs::isBitmapNeeded).toMutableMap()
        private val fineBitmaps = record.fineBitmaps.orEmpty().filterKeys(jobs::isBitmapNeeded).toMutableMap()

        var isChanged = false
            private set

        /**
         * Adds completions, with those that the entry holds already; false, and nothing is added, if that makes the
         * segment too large. An empty segment takes anything.
         */
        fun add(chunk: Chunk): Boolean {
            val entries = if (chunk.size == TaskBitmaps.CHUNK_TASKS) bitmaps else fineBitmaps
            val tasks = chunk.job.unrecordedCompletions.clone() as BitSet
            entries[chunk.name]?.let { TaskBitmaps.decodeInto(it, chunk.index, tasks, chunk.size) }
            val text = TaskBitmaps.encode(tasks, chunk.index, chunk.size)
            if (!hasRoomFor(chunk, text, entries[chunk.name])) return false
            entries[chunk.name] = text
            isChanged = true
            return true
        }

        private fun hasRoomFor(chunk: Chunk, text: String, replaced: String?): Boolean {
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
        /** What surrounds name and text of an entry: quotes, a colon and a comma. */
        const val ENTRY_OVERHEAD_BYTES = 6
    }
}
