package io.otterknot.scheduling

import io.otterknot.records.PartitionLoadRecord
import io.otterknot.records.PressureRecord
import io.otterknot.records.QuotaAmount
import io.otterknot.records.TaskSpan
import io.otterknot.wire.JobSpec
import kotlin.random.Random

/** A partition as a chooser sees it. */
class PartitionView(val zone: String) {
    var mean = 0.0
    var cores = 0.0
    var ordinaryMean = 0.0
    var ordinaryCores = 0.0

    /** Takes over all that the leader of the partition has published; the announced idle machines stay as they are. */
    fun update(record: PartitionLoadRecord) {
        mean = record.meanLoad
        cores = record.cores
        needs = record.quotaNeeds
        pressure = record.pressure
        ordinaryMean = record.ordinaryMeanLoad
        ordinaryCores = record.ordinaryCores
    }

    /** The mean that matters to a job: one that may not use spot machines gains nothing from what is free there. */
    fun meanFor(spec: JobSpec): Double = if (spec.spot) mean else maxOf(ordinaryMean, 0.0)

    /** Raises the mean in this view by what [tasks] of a job will add. */
    fun raise(spec: JobSpec, tasks: Int) {
        val amount = tasks * maxOf(spec.cores, 0.1)
        mean += amount / maxOf(cores, MIN_CORES)
        if (!spec.spot) ordinaryMean += amount / maxOf(ordinaryCores, MIN_CORES)
    }

    /** A view of its own, for a choice that is no load yet. */
    fun copy() = PartitionView(zone).also {
        it.mean = mean
        it.cores = cores
        it.ordinaryMean = ordinaryMean
        it.ordinaryCores = ordinaryCores
        it.idleMachines = idleMachines
    }

    private companion object {
        const val MIN_CORES = 32.0
    }

    /** What teams need there beyond the partition's allotment. */
    var needs: Map<String, QuotaAmount> = emptyMap()

    /** What presses on it, as its owner published it; null: the owner does not. */
    var pressure: PressureRecord? = null

    /** Announced idle machines, as far as this node knows. */
    var idleMachines = 0
}

/** The choice among partitions, made like the one among machines: one announced idle, else the lower mean of two. */
object PartitionChooser {
    /**
     * Deals the tasks of [spec] out to partitions in at most [MAX_BLOCKS] blocks, raising the chosen partitions' means
     * in this view.
     */
    fun deal(spec: JobSpec, partitions: List<PartitionView>, random: Random): List<TaskSpan> {
        val open = if (spec.zone == null) partitions else partitions.filter { it.zone == spec.zone }
        if (spec.sameZone || open.size == 1) {
            val partition = choose(open, spec, random)
            partition.raise(spec, spec.tasks)
            return listOf(TaskSpan(partition.zone, 0, spec.tasks))
        }
        val counts = IntArray(open.size)
        val block = maxOf(1, (spec.tasks + MAX_BLOCKS - 1) / MAX_BLOCKS)
        var left = spec.tasks
        while (left > 0) {
            val size = minOf(block, left)
            val partition = choose(open, spec, random)
            partition.raise(spec, size)
            counts[open.indexOf(partition)] += size
            left -= size
        }
        val spans = ArrayList<TaskSpan>()
        var from = 0
        for (index in open.indices.sortedByDescending { counts[it] }) {
            if (counts[index] == 0) continue
            spans.add(TaskSpan(open[index].zone, from, from + counts[index]))
            from += counts[index]
        }
        return spans
    }

    fun choose(partitions: List<PartitionView>, spec: JobSpec, random: Random): PartitionView {
        val idle = partitions.filter { it.idleMachines > 0 }
        if (idle.isNotEmpty()) return idle[random.nextInt(idle.size)].also { it.idleMachines-- }
        val first = partitions[random.nextInt(partitions.size)]
        if (partitions.size == 1) return first
        var other = random.nextInt(partitions.size - 1)
        if (other >= partitions.indexOf(first)) other++
        val second = partitions[other]
        return if (second.meanFor(spec) < first.meanFor(spec)) second else first
    }

    private const val MAX_BLOCKS = 64
}
