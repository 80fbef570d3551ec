package io.otterknot.rebalance

import io.otterknot.partition.Partition
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob

/** Counts the waiting tasks of a partition by team and cause. */
class WaitCauses(private val examinedJobs: Int) {
    /** Returns the number of waiting tasks by team and cause; examines pending tasks of at most [examinedJobs] jobs. */
    fun count(partition: Partition, cluster: ClusterPressure, now: Long): Map<String, Map<WaitCause, Int>> {
        val counts = HashMap<String, HashMap<WaitCause, Int>>()
        fun add(team: String, cause: WaitCause, tasks: Int) {
            if (tasks > 0) counts.getOrPut(team) { HashMap() }.merge(cause, tasks, Int::plus)
        }
        val machinesWithFreeCores = partition.machines.filter { it.inService && it.resources.usedCores < it.type.cores }
        var examined = 0
        for (job in partition.jobs) {
            add(job.spec.team, WaitCause.UNRECONCILED, job.unreconciledTasks.cardinality())
            add(job.spec.team, WaitCause.REASSIGNMENT, job.beingReassigned.cardinality())
            for (attempt in job.active.values) {
                when (attempt.phase) {
                    AttemptPhase.BOOKED, AttemptPhase.SENT -> add(job.spec.team, WaitCause.AWAITING_HEARTBEAT, 1)
                    AttemptPhase.FETCHING -> add(job.spec.team, WaitCause.IMAGE_FETCH, 1)
                    else -> Unit
                }
            }
            if (job.pending.isEmpty || examined++ >= examinedJobs) continue
            val pending = pending(partition, job, machinesWithFreeCores, cluster, now)
            for ((cause, tasks) in pending) add(job.spec.team, cause, tasks)
        }
        return counts
    }

    private fun pending(
        partition: Partition,
        job: PartitionJob,
        machinesWithFreeCores: List<Machine>,
        cluster: ClusterPressure,
        now: Long,
    ): List<Pair<WaitCause, Int>> {
        if (job.retryAtMs > now) return listOf(WaitCause.RETRY_BACKOFF to job.pendingCount)
        val startable = minOf(job.pendingCount, maxOf(0, partition.startableTasks(job)))
        val quotaLimited = WaitCause.QUOTA_LIMIT to job.pendingCount - startable
        return listOf(quotaLimited, causeWithoutCapacity(partition, job, machinesWithFreeCores, cluster) to startable)
    }

    private fun causeWithoutCapacity(
        partition: Partition,
        job: PartitionJob,
        machinesWithFreeCores: List<Machine>,
        cluster: ClusterPressure,
    ): WaitCause {
        val spec = job.spec
        val hasCapacity = machinesWithFreeCores.any { it.isAllowedFor(spec) && it.resources.canFit(spec) }
        if (hasCapacity) return WaitCause.CAPACITY_RESERVED
        val hasCapacityElsewhere = cluster.partitions.values.any {
            it.zone != partition.zone && it.meanFor(spec) < MAX_MEAN_WITH_CAPACITY
        }
        if (hasCapacityElsewhere && spec.zone == null) return WaitCause.CAPACITY_ELSEWHERE
        val isAnyOtherTeamAboveFairShare = cluster.fairShares.any { (team, fairShare) ->
            team != spec.team && cluster.dominantShare(team) > fairShare + FAIR_SHARE_TOLERANCE
        }
        return if (isAnyOtherTeamAboveFairShare) WaitCause.TEAMS_ABOVE_FAIR_SHARE else WaitCause.NO_CAPACITY
    }

    private companion object {
        const val MAX_MEAN_WITH_CAPACITY = 0.9
        const val FAIR_SHARE_TOLERANCE = 0.02
    }
}
