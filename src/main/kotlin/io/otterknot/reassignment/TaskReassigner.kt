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
 * Reassigns pending tasks of a partition to one with a lower mean load. The leader of the source partition does this.
 *
 * @param nowMs the monotonic clock, which determines the order of pending jobs
 * @param wallMs the wall clock, from which the waiting time of a job is computed
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
    /** Periodically reassigns tasks of the partitions that this controller leads, until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PERIOD_MS + random.nextLong(PERIOD_JITTER_MS))
            for (partition in partitions.values.toList()) {
                if (!targets.isDecidedElsewhere(partition.zone)) reassignFrom(partition)
            }
        }
    }

    /**
     * Reassigns pending tasks of [partition], the most urgent jobs first, skipping jobs for which no reassignment is
     * worthwhile. Makes at most [MAX_REASSIGNMENTS] reassignments.
     */
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
        // All tasks of a same-zone job must run in one zone, so either all of them are reassigned or none.
        return !spec.sameZone || job.allTasksPending
    }

    /**
     * Reserves the tasks of [job] that are to be reassigned to [target], and returns them, or null if there are none.
     */
    private fun reserveTasks(
        partition: Partition,
        load: LoadBeforeReassignment,
        job: PartitionJob,
        target: PartitionView,
    ): BitSet? {
        val cores = coresToReassign(load, job, target) ?: return null
        return partition.reserveForReassignment(job, cores).takeUnless { it.isEmpty }
    }

    /**
     * Returns how many cores of pending tasks of [job] are to be reassigned to [target], or null if the mean loads do
     * not differ enough or a same-zone job is too large.
     */
    private fun coresToReassign(load: LoadBeforeReassignment, job: PartitionJob, target: PartitionView): Double? {
        val spec = job.spec
        val targetMean = target.meanFor(spec)
        val gap = load.meanFor(spec) - targetMean
        val mayMoveAfterLongWait = LongWaitPolicy.mayMove((wallMs() - job.readyMs) / MS_PER_S, targetMean)
        val minGap = if (mayMoveAfterLongWait) LongWaitPolicy.MIN_MEAN_GAP else MIN_GAP
        if (gap < minGap) return null
        // Half of the gap, in cores of the smaller partition, equalizes the means; more would cause reassignments back.
        val targetCores = if (spec.spot) target.cores else target.ordinaryCores
        val balancingCores = gap / 2 * minOf(maxOf(load.coresFor(spec), 1.0), maxOf(targetCores, 1.0))
        val taskCores = load.taskCores(spec)
        if (!spec.sameZone) return maxOf(balancingCores, taskCores)
        val isTooLarge = !mayMoveAfterLongWait && job.waitingCount * taskCores > balancingCores * 2
        return if (isTooLarge) null else Double.MAX_VALUE
    }

    private companion object {
        const val PERIOD_MS = 900L
        const val PERIOD_JITTER_MS = 400L
        const val MAX_REASSIGNMENTS = 3

        /** Minimum difference between the mean loads of two partitions, unless the long-wait rule applies. */
        const val MIN_GAP = 0.15
        const val MS_PER_S = 1000.0
    }
}
