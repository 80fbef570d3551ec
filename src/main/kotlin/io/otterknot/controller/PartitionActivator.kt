package io.otterknot.controller

import io.otterknot.jobs.JobTable
import io.otterknot.leadership.LeadershipAcquisition
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import io.otterknot.store.StoreReplica
import org.slf4j.LoggerFactory

/**
 * Brings acquired partitions into service: one is activated once the replica holds everything that was written before
 * its acquisition. Until then its leader answers heartbeats with the fencing token and no commands.
 *
 * Owns the queue of acquired partitions; of the partitions in service, [partitions], it alone adds and removes.
 */
class PartitionActivator(
    private val partitions: MutableMap<String, Partition>,
    private val leadership: PartitionLeadership,
    private val replica: StoreReplica,
    private val jobs: JobTable,
    private val machines: RegisteredMachines,
    private val factory: PartitionFactory,
) {
    private val log = LoggerFactory.getLogger(PartitionActivator::class.java)
    private val queue = ArrayList<LeadershipAcquisition>()

    /** The leadership of a partition has been acquired. */
    fun enqueue(acquired: LeadershipAcquisition) {
        queue += acquired
    }

    /** Takes a partition whose leadership is lost out of service. */
    fun deactivate(zone: String) {
        partitions.remove(zone)
    }

    /** Activates all that the replica has caught up with; cheap while nothing is queued. */
    fun activateAcquired() {
        val due = queue.filter { replica.revision >= it.fencingToken }
        queue.removeAll(due)
        due.forEach(::activate)
    }

    private fun activate(acquired: LeadershipAcquisition) {
        val zone = acquired.zone
        val isLostMeanwhile = leadership.acquiredToken(zone) != acquired.fencingToken
        if (isLostMeanwhile) return
        val registeredMachines = machines.typesByMachine(zone)
        val priorLeaderUntilMs = leadership.takeoverMarkers.priorLeaderUntilMs(zone, acquired.isForcedTakeover)
        val partition = factory.create(acquired, priorLeaderUntilMs, registeredMachines)
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
