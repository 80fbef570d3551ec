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
 * full; what it says of jobs that are over is dropped with its next change, and an empty segment is removed.
 */
class CompletionSegments(private val jobs: JobTable, private val limits: WriteLimits) {
    /**
     * The writes that make all completions of [partition] durable, and those that remove what is of no use any more.
     */
    fun writes(partition: Partition): List<PendingWrite> {
        val segments = jobs.completionSegments(StoreKeys.completionSegment(partition.zone, ""))
        val added = additions(partition, segments)
        val written = added.mapTo(HashSet()) { it.key }
        val removed = segments.filter { (key, record) -> key !in written && isObsolete(record) }.keys
        return added + removed.map { PendingWrite(it, null) }
    }

    private fun isObsolete(record: CompletionSegmentRecord): Boolean =
        (record.bits.keys + record.fine?.keys.orEmpty()).none(jobs::isBitmapNeeded)

    private fun additions(partition: Partition, segments: Map<String, CompletionSegmentRecord>): List<PendingWrite> {
        val chunks = changedChunks(partition)
        if (chunks.isEmpty()) return emptyList()
        val writes = ArrayList<PendingWrite>()
        var number = lastNumber(partition, segments.keys)
        var segment = Segment(segments[key(partition, number)] ?: CompletionSegmentRecord())
        for (chunk in chunks) {
            if (!segment.add(chunk)) {
                if (segment.changed) writes.add(segment.write(key(partition, number)))
                number++
                segment = Segment(CompletionSegmentRecord())
                segment.add(chunk)
            }
        }
        writes.add(segment.write(key(partition, number)))
        return writes
    }

    /** Some tasks of one job, with newly completed ones among them. */
    private class Chunk(val job: PartitionJob, val index: Int) {
        val size = TaskBitmaps.chunkOf(job.spec.tasks)
        val name = TaskBitmaps.name(job.id, index)
    }

    private fun changedChunks(partition: Partition): List<Chunk> = partition.jobs.filterNot {
        it.unrecordedCompletions.isEmpty
    }.flatMap { job ->
        val last = (job.unrecordedCompletions.length() - 1) / TaskBitmaps.chunkOf(job.spec.tasks)
        (0..last).map { Chunk(job, it) }
    }

    private fun key(partition: Partition, number: Int) =
        StoreKeys.completionSegment(partition.zone, "${partition.fencingToken}-$number")

    private fun lastNumber(partition: Partition, keys: Set<String>): Int {
        val prefix = StoreKeys.completionSegment(partition.zone, "${partition.fencingToken}-")
        return keys.filter { it.startsWith(prefix) }.maxOfOrNull { it.removePrefix(prefix).toInt() } ?: 0
    }

    /** A segment as it shall be, without what is said of jobs that are over. */
    private inner class Segment(record: CompletionSegmentRecord) {
        private val bits = record.bits.filterKeys(jobs::isBitmapNeeded).toMutableMap()
        private val fineBits = record.fine.orEmpty().filterKeys(jobs::isBitmapNeeded).toMutableMap()

        /** Whether something was added. */
        var changed = false
            private set

        /** Adds a job's completions unless that makes the segment too large; an empty one takes anything. */
        fun add(chunk: Chunk): Boolean {
            val entries = if (chunk.size == TaskBitmaps.CHUNK) bits else fineBits
            val tasks = chunk.job.unrecordedCompletions.clone() as BitSet
            entries[chunk.name]?.let { TaskBitmaps.decodeInto(it, chunk.index, tasks, chunk.size) }
            val text = TaskBitmaps.encode(tasks, chunk.index, chunk.size)
            val replaced = entries[chunk.name]?.let { size(chunk.name, it) } ?: 0
            val isEmpty = bits.isEmpty() && fineBits.isEmpty()
            if (!isEmpty && size() - replaced + size(chunk.name, text) > limits.maxRecordBytes) return false
            entries[chunk.name] = text
            changed = true
            return true
        }

        fun write(key: String): PendingWrite {
            val record = CompletionSegmentRecord(bits, fineBits.ifEmpty { null })
            return PendingWrite(key, encodeRecord(CompletionSegmentRecord.serializer(), record))
        }

        private fun size(): Int = listOf(bits, fineBits).sumOf { entries ->
            entries.entries.sumOf { size(it.key, it.value) }
        }

        private fun size(name: String, text: String): Int = name.length + text.length + ENTRY_OVERHEAD_BYTES
    }

    private companion object {
        /** Quotes, a colon and a comma. */
        const val ENTRY_OVERHEAD_BYTES = 6
    }
}
