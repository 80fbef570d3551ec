package io.otterknot.scheduling

import io.otterknot.records.TaskSpan
import io.otterknot.wire.JobSpec
import kotlin.random.Random

/**
 * The choice among partitions, made like the one among machines: one with announced idle machines, else the one of two
 * random samples with the lower mean load (power of two choices; Saqr, section 3.2).
 */
object PartitionChooser {
    /** A decision for each task of a large job would cost too much: its tasks are dealt out in at most so many blocks. */
    private const val MAX_BLOCKS = 64

    /**
     * Divides the tasks of [spec] among [partitions], raising the means of those chosen. The spans cover all tasks, the
     * largest first; its partition becomes the job's home partition.
     */
    fun deal(spec: JobSpec, partitions: List<PartitionView>, random: Random): List<TaskSpan> {
        val allowed = if (spec.zone == null) partitions else partitions.filter { it.zone == spec.zone }
        if (spec.sameZone || allowed.size == 1) {
            val partition = choose(allowed, spec, random)
            partition.raise(spec, spec.tasks)
            return listOf(TaskSpan(partition.zone, 0, spec.tasks))
        }
        return spans(allowed, dealBlocks(spec, allowed, random))
    }

    /** How many tasks each of [partitions] gets. */
    private fun dealBlocks(spec: JobSpec, partitions: List<PartitionView>, random: Random): IntArray {
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

    /** Chooses one of [partitions] for a block of tasks; an idle machine that is counted on is not counted on again. */
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
