package io.otterknot.rebalance

import io.otterknot.config.TeamSettings
import io.otterknot.jobs.Job
import io.otterknot.partition.Partition
import io.otterknot.scheduling.PartitionView
import io.otterknot.wire.JobSpec

/** State of the controller that load spread reads. */
interface LoadSpreadHost {
    val partitions: Map<String, Partition>
    val views: Map<String, PartitionView>
    val teams: List<TeamSettings>

    /** All unfinished jobs of all partitions. */
    val liveJobs: Collection<Job>

    /** Whether this controller may act as the leader of [partition] now. */
    fun mayActFor(partition: Partition): Boolean

    /** Whether the key-value store responds to this controller. */
    val isStoreAvailable: Boolean

    /** Whether the partition of [zone] has a leader. */
    fun hasLeader(zone: String): Boolean

    /** Whether the cloud offers a machine type in [zone] that [spec] allows. */
    fun offers(zone: String, spec: JobSpec): Boolean
}
