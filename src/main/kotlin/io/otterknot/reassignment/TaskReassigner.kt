package io.otterknot.reassignment

import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import io.otterknot.scheduling.LongWaitPolicy
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.PartitionView
import kotlinx.coroutines.delay
import java.util.BitSet
import kotlin.random.Random

/**
 * Reassigns tasks that wait in a partition to one with a lower mean load. The leader of the giving partition does it.
 *
 * @param nowMs the steady clock, which orders jobs
 * @param wallMs the wall clock, which says for how long they have waited
 */
class TaskReassigner(
    private val transactions: ReassignmentTransactions,
    private val targets: ReassignmentTargets,
    private val leadership: PartitionLeadership,
    private val partitions: Map<String, Partition>,
    private val nowMs: () -> Long,
    private val wallMs: () -> Long,
    private val random: Random,
) {
    /** Looks for reassignments to make until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PERIOD_MS + random.nextLong(PERIOD_JITTER_MS))
            for (partition in partitions.values.toList()) {
                if (!targets.isDecidedElsewhere(partition.zone)) reassignFrom(partition)
            }
        }
    }

    /** Reassigns tasks of the most urgent jobs of [partition] for which that is worth while. */
    private suspend fun reassignFrom(partition: Partition) {
        if (!leadership.mayActFor(partition) || !partition.reconciled) return
        var reassignmentCount = 0
        var load = LoadBeforeReassignment(partition)
        for (job in partition.pendingJobsInOrder(nowMs())) {
            if (reassignmentCount >= MAX_REASSIGNMENTS) return
            if (!isReassignable(job)) continue
            val target = targets.bestFor(job.spec, partition.zone) ?: return
            val tasks = reserveTasks(partition, load, job, target) ?: continue
            reassignmentCount++
            target.raise(job.spec, tasks.cardinality())
            val outcome = transactions.reassign(partition, job, tasks, target.zone)
            if (outcome == ReassignmentOutcome.LEADERSHIP_LOST) return
            load = LoadBeforeReassignment(partition)
        }
    }

    private fun isReassignable(job: PartitionJob): Boolean {
        val spec = job.spec
        if (job.finished || spec.zone != null || job.pending.isEmpty) return false
        // All tasks of such a job are in one zone: it is reassigned as a whole or not at all.
        return !spec.sameZone || job.allTasksPending
    }

    /** Sets aside the tasks of [job] that are to be reassigned to [target]; null if it is not worth while. */
    private fun reserveTasks(
        partition: Partition,
        load: LoadBeforeReassignment,
        job: PartitionJob,
        target: PartitionView,
    ): BitSet? {
        val cores = coresToReassign(load, job, target) ?: return null
        return partition.reserveForReassignment(job, cores).takeUnless { it.isEmpty }
    }

    /** How many cores' worth of tasks of [job] should wait at [target] instead; null if none should. */
    private fun coresToReassign(load: LoadBeforeReassignment, job: PartitionJob, target: PartitionView): Double? {
        val spec = job.spec
        val targetMean = target.meanFor(spec)
        val gap = load.meanFor(spec) - targetMean
        val hasWaitedLong = LongWaitPolicy.mayMove((wallMs() - job.readyMs) / MS_PER_S, targetMean)
        val minGap = if (hasWaitedLong) LongWaitPolicy.MIN_MEAN_GAP else MIN_GAP
        if (gap < minGap) return null
        // Half of the gap, in cores of the smaller partition: both means then meet, and nothing swings back.
        val targetCores = if (spec.spot) target.cores else target.ordinaryCores
        val balancingCores = gap / 2 * minOf(maxOf(load.coresFor(spec), 1.0), maxOf(targetCores, 1.0))
        if (!spec.sameZone) return maxOf(balancingCores, spec.cores)
        val isTooLarge = !hasWaitedLong && job.pendingCores > balancingCores * 2
        return if (isTooLarge) null else Double.MAX_VALUE
    }

    private companion object {
        const val PERIOD_MS = 900L
        const val PERIOD_JITTER_MS = 400L
        const val MAX_REASSIGNMENTS = 3

        /** By how much the mean loads of two partitions must differ. */
        const val MIN_GAP = 0.15
        const val MS_PER_S = 1000.0
    }
}
