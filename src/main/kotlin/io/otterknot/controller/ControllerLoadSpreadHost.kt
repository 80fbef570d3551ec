package io.otterknot.controller

import io.otterknot.autoscaling.MachineTypeCatalog
import io.otterknot.config.TeamSettings
import io.otterknot.jobs.Job
import io.otterknot.jobs.JobTable
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import io.otterknot.rebalance.LoadSpreadHost
import io.otterknot.scheduling.PartitionView
import io.otterknot.store.StoreHealth
import io.otterknot.wire.JobSpec

/** Gives load spread access to the state of its controller. Owns no state. */
internal class ControllerLoadSpreadHost(
    override val partitions: Map<String, Partition>,
    override val views: Map<String, PartitionView>,
    override val teams: List<TeamSettings>,
    private val jobs: JobTable,
    private val leadership: PartitionLeadership,
    private val catalog: MachineTypeCatalog,
    private val storeHealth: StoreHealth,
) : LoadSpreadHost {
    override val liveJobs: Collection<Job> get() = jobs.activeJobs
    override val isStoreAvailable: Boolean get() = storeHealth.isAnswering

    override fun mayActFor(partition: Partition): Boolean = leadership.mayActFor(partition)

    override fun hasLeader(zone: String): Boolean = leadership.leaderOf(zone) != null

    override fun offers(zone: String, spec: JobSpec): Boolean = catalog.offers(zone, spec)
}
