package io.otterknot.rebalance

import io.otterknot.partition.Partition
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Where the wait of a task arises. */
@Serializable
enum class WaitCause {
    /** An earlier owner may have started it. */
    @SerialName("doubt")
    DOUBT,

    /** It is on its way to another partition, until that change is durable. */
    @SerialName("handover")
    HANDOVER,

    /** The team's allotment in this partition, or the job's own spread over zones, is used up. */
    @SerialName("limit")
    LIMIT,

    /** The job failed a few times and is tried again later. */
    @SerialName("retry")
    RETRY,

    /** Some machine has room, which is held for other work or which a machine that is not usable yet has. */
    @SerialName("held room")
    HELD_ROOM,

    /** There is no room here, but another partition has some. */
    @SerialName("room elsewhere")
    ROOM_ELSEWHERE,

    /** There is no room, and other teams use more of the partition than they are due. */
    @SerialName("other teams above their share")
    OTHER_TEAMS,

    /** There is no room, and nobody uses more than is due: only more machines would help. */
    @SerialName("no room")
    NO_ROOM,

    /** It has a machine, and waits for that machine's report or for the answer to arrive. */
    @SerialName("report")
    REPORT,

    /** It has a machine, and waits for its image. */
    @SerialName("image")
    IMAGE,
}

/** Tells, by team and cause, how many tasks of a partition wait now. */
class WaitCauses(private val examinedJobs: Int) {
    /** How many tasks of each team wait because of each cause. */
    fun count(partition: Partition, cluster: ClusterPressure, now: Long): Map<String, Map<WaitCause, Int>> {
        val counts = HashMap<String, HashMap<WaitCause, Int>>()
        fun add(team: String, cause: WaitCause, tasks: Int) {
            if (tasks > 0) counts.getOrPut(team) { HashMap() }.merge(cause, tasks, Int::plus)
        }
        val roomy = partition.machines.filter { it.inService && it.usedCores < it.type.cores }
        var examined = 0
        for (job in partition.jobs) {
            add(job.spec.team, WaitCause.DOUBT, job.inDoubt.cardinality())
            add(job.spec.team, WaitCause.HANDOVER, job.beingReassigned.cardinality())
            for (attempt in job.active.values) {
                when (attempt.phase) {
                    AttemptPhase.BOOKED, AttemptPhase.SENT -> add(job.spec.team, WaitCause.REPORT, 1)
                    AttemptPhase.FETCHING -> add(job.spec.team, WaitCause.IMAGE, 1)
                    else -> Unit
                }
            }
            if (job.pending.isEmpty || examined++ >= examinedJobs) continue
            for ((cause, tasks) in pending(partition, job, roomy, cluster, now)) add(job.spec.team, cause, tasks)
        }
        return counts
    }

    private fun pending(
        partition: Partition,
        job: PartitionJob,
        roomy: List<Machine>,
        cluster: ClusterPressure,
        now: Long,
    ): List<Pair<WaitCause, Int>> {
        if (job.retryAtMs > now) return listOf(WaitCause.RETRY to job.pendingCount)
        val startable = minOf(job.pendingCount, maxOf(0, partition.startableTasks(job)))
        val limited = WaitCause.LIMIT to job.pendingCount - startable
        return listOf(limited, withoutRoom(partition, job, roomy, cluster) to startable)
    }

    private fun withoutRoom(
        partition: Partition,
        job: PartitionJob,
        roomy: List<Machine>,
        cluster: ClusterPressure,
    ): WaitCause {
        val spec = job.spec
        if (roomy.any { it.isAllowedFor(spec) && it.hasRoomFor(spec) }) return WaitCause.HELD_ROOM
        val elsewhere = cluster.partitions.values.any { it.zone != partition.zone && it.meanFor(spec) < ROOMY }
        if (elsewhere && spec.zone == null) return WaitCause.ROOM_ELSEWHERE
        val isCrowdedOut = cluster.fairShares.any { (team, due) ->
            team != spec.team && cluster.dominantShare(team) > due + SLACK
        }
        return if (isCrowdedOut) WaitCause.OTHER_TEAMS else WaitCause.NO_ROOM
    }

    private companion object {
        const val ROOMY = 0.9
        const val SLACK = 0.02
    }
}
