package io.otterknot.reassignment

import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import io.otterknot.scheduling.LongWait
import io.otterknot.scheduling.PartitionView
import io.otterknot.wire.JobSpec
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Moves tasks that wait in a partition to one with a lower mean. The owner of the partition that gives does it. */
class TaskReassigner(
    private val transfer: TaskReassignment,
    private val ownership: PartitionLeadership,
    private val partitions: Map<String, Partition>,
    private val views: Map<String, PartitionView>,
    private val offers: (zone: String, spec: JobSpec) -> Boolean,
    private val nowMs: () -> Long,
    private val wallMs: () -> Long,
    private val random: Random,
    /** Somebody else decides what this partition hands over. */
    private val isDecidedElsewhere: (zone: String) -> Boolean = { false },
) {
    suspend fun balance() {
        while (true) {
            delay(EVERY_MS + random.nextLong(400))
            for (partition in partitions.values.toList()) {
                if (!isDecidedElsewhere(partition.zone)) give(partition)
            }
        }
    }

    private suspend fun give(partition: Partition) {
        if (ownership.token(partition.zone) != partition.fencingToken || !partition.reconciled) return
        var moves = 0
        var means = Means(partition)
        for (held in partition.pendingJobsInOrder(nowMs())) {
            if (moves >= MOVES) return
            val spec = held.spec
            if (held.finished || spec.zone != null || held.pending.isEmpty) continue
            // All of such a job is in one zone: it moves as a whole or not at all.
            if (spec.sameZone && !held.allTasksPending) continue
            val target = target(partition, spec) ?: return
            val gap = means.mean(spec) - target.meanFor(spec)
            val long = LongWait.mayMove((wallMs() - held.readyMs) / 1000.0, target.meanFor(spec))
            if (gap < if (long) LongWait.LEAST_GAP else MIN_GAP) continue
            // Half of the gap, in cores of the smaller partition: both means then meet, and nothing swings back.
            val theirs = if (spec.spot) target.cores else target.ordinaryCores
            val amount = gap / 2 * minOf(maxOf(means.cores(spec), 1.0), maxOf(theirs, 1.0))
            if (spec.sameZone && !long && held.pendingCores > amount * 2) continue
            val tasks = partition.reserveForReassignment(
                held,
                if (spec.sameZone) Double.MAX_VALUE else maxOf(amount, spec.cores),
            )
            if (tasks.isEmpty) continue
            moves++
            target.raise(spec, tasks.cardinality())
            if (transfer.transfer(partition, held, tasks, target.zone) ==
                TaskReassignment.Outcome.PARTITION_LOST
            ) {
                return
            }
            means = Means(partition)
        }
    }

    private fun target(partition: Partition, spec: JobSpec): PartitionView? = views.values
        .filter { it.zone != partition.zone && offers(it.zone, spec) && ownership.leaderOf(it.zone) != null }
        .minByOrNull { it.meanFor(spec) }

    /** What adds up over all machines and jobs of a partition, added up once between two moves. */
    private class Means(partition: Partition) {
        private val mean by lazy(LazyThreadSafetyMode.NONE) { partition.load.mean() }
        private val ordinaryMean by lazy(LazyThreadSafetyMode.NONE) { partition.load.ordinaryMean() }
        private val cores by lazy(LazyThreadSafetyMode.NONE) { partition.load.totalCores }
        private val ordinaryCores by lazy(LazyThreadSafetyMode.NONE) { partition.load.ordinaryCores }

        fun mean(spec: JobSpec): Double = if (spec.spot) mean else ordinaryMean

        fun cores(spec: JobSpec): Double = if (spec.spot) cores else ordinaryCores
    }

    private companion object {
        const val EVERY_MS = 900L
        const val MOVES = 3
        const val MIN_GAP = 0.15
    }
}
