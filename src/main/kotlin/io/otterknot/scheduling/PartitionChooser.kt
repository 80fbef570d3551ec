package io.otterknot.scheduling

import io.otterknot.records.TaskSpan
import io.otterknot.wire.JobSpec
import kotlin.random.Random

/**
 * Chooses partitions in the same way as [PlacementCandidates] chooses machines: one with announced idle machines if
 * there is any, otherwise the one with the lower mean load of two random samples (power of two choices; Saqr, section
 * 3.2).
 */
object PartitionChooser {
    /** The maximum number of task blocks of a job. One decision for each task of a large job would cost too much. */
    private const val MAX_BLOCKS = 64

    /**
     * Distributes the tasks of [spec] over [partitions] and raises the mean loads of those chosen. The returned spans
     * cover all tasks, the largest first; the partition of the first span becomes the job's home partition.
     */
    fun distribute(spec: JobSpec, partitions: List<PartitionView>, random: Random): List<TaskSpan> {
        val allowed = if (spec.zone == null) partitions else partitions.filter { it.zone == spec.zone }
        if (spec.sameZone || allowed.size == 1) {
            val partition = choose(allowed, spec, random)
            partition.raise(spec, spec.tasks)
            return listOf(TaskSpan(partition.zone, 0, spec.tasks))
        }
        return spans(allowed, distributeBlocks(spec, allowed, random))
    }

    /** Returns the number of tasks for each of [partitions]. */
    private fun distributeBlocks(spec: JobSpec, partitions: List<PartitionView>, random: Random): IntArray {
        val counts = IntArray(partitions.size)
        val blockSize = maxOf(1, (spec.tasks + MAX_BLOCKS - 1) / MAX_BLOCKS)
        var left = spec.tasks
        while (left > 0) {
            val size = minOf(blockSize, left)
            val partition = choose(partitions, spec, random)
            partition.raise(spec, size)
            counts[partitions.indexOf(partition)] += size
            left -= size
        }
        return counts
    }

    private fun spans(partitions: List<PartitionView>, counts: IntArray): List<TaskSpan> {
        val spans = ArrayList<TaskSpan>()
        var first = 0
        for (index in partitions.indices.sortedByDescending { counts[it] }) {
            if (counts[index] == 0) continue
            spans.add(TaskSpan(partitions[index].zone, first, first + counts[index]))
            first += counts[index]
        }
        return spans
    }

    /**
     * Chooses one of [partitions] for a block of tasks. A choice because of an idle machine decrements
     * [PartitionView.idleMachines], so that the same machine does not attract a second block.
     */
    fun choose(partitions: List<PartitionView>, spec: JobSpec, random: Random): PartitionView {
        val idle = partitions.filter { it.idleMachines > 0 }
        if (idle.isNotEmpty()) return idle[random.nextInt(idle.size)].also { it.idleMachines-- }
        val first = partitions[random.nextInt(partitions.size)]
        if (partitions.size == 1) return first
        var otherIndex = random.nextInt(partitions.size - 1)
        if (otherIndex >= partitions.indexOf(first)) otherIndex++
        val second = partitions[otherIndex]
        return if (second.meanFor(spec) < first.meanFor(spec)) second else first
    }
}
