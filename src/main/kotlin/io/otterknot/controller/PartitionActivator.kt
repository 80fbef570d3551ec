package io.otterknot.controller

import io.otterknot.jobs.JobTable
import io.otterknot.leadership.LeadershipAcquisition
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import io.otterknot.partition.PartitionMonitoring
import io.otterknot.store.StoreReplica
import org.slf4j.LoggerFactory

/**
 * Brings acquired partitions into service. A partition is activated once the replica contains everything that was
 * written before its acquisition. Until then its leader answers heartbeats with the fencing token and no commands.
 *
 * Owns the queue of acquired partitions, and is the only writer of [partitions], the partitions in service.
 */
class PartitionActivator(
    private val partitions: MutableMap<String, Partition>,
    private val leadership: PartitionLeadership,
    private val replica: StoreReplica,
    private val jobs: JobTable,
    private val machines: RegisteredMachines,
    private val factory: PartitionFactory,
    private val monitoring: PartitionMonitoring,
) {
    private val log = LoggerFactory.getLogger(PartitionActivator::class.java)
    private val queue = ArrayList<LeadershipAcquisition>()

    /** Queues a newly acquired partition for activation. */
    fun enqueue(acquired: LeadershipAcquisition) {
        queue += acquired
    }

    /** Removes the partition of [zone], whose leadership has been lost, from [partitions]. */
    fun deactivate(zone: String) {
        partitions.remove(zone)
    }

    /** Activates the queued partitions whose acquisition the replica has caught up with; cheap if none is queued. */
    fun activateAcquired() {
        val due = queue.filter { replica.revision >= it.fencingToken }
        queue.removeAll(due)
        due.forEach(::activate)
    }

    private fun activate(acquired: LeadershipAcquisition) {
        val zone = acquired.zone
        val hasLostLeadership = leadership.acquiredToken(zone) != acquired.fencingToken
        if (hasLostLeadership) return
        val registeredMachines = machines.typesByMachine(zone)
        val priorLeaderUntilMs = leadership.takeoverMarkers.priorLeaderUntilMs(zone, acquired.isForcedTakeover)
        val partition = factory.create(
            acquired,
            priorLeaderUntilMs,
            registeredMachines,
            leadership.confirmation,
            monitoring,
        )
        jobs.activeJobs.forEach { partition.updateJob(it, inherited = true) }
        partitions[zone] = partition
        log.info(
            "partition={} fencing_token={} jobs={} registered_machines={} activated",
            zone,
            acquired.fencingToken,
            partition.jobs.size,
            registeredMachines.size,
        )
    }
}
