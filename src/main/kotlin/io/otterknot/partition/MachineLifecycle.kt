package io.otterknot.partition

import io.otterknot.scheduling.Machine
import org.slf4j.LoggerFactory

/** Releases the attempts of machines whose lease has expired or that the cloud has released. */
class MachineLifecycle(
    private val zone: String,
    private val leases: LeaseTimings,
    private val state: PartitionState,
    private val stragglers: StragglerDetector,
) {
    private val log = LoggerFactory.getLogger(MachineLifecycle::class.java)

    /**
     * Expires leases and stops stragglers. [isLeaderSlow] means that this controller responds too late for the workers,
     * so that lost responses are not attributed to any machine.
     */
    fun check(now: Long, isLeaderSlow: Boolean) {
        for (machine in state.machines.all) {
            if (!machine.leaseExpired && isLeaseExpiryCertain(machine, now)) expireLease(machine)
            if (isLeaderSlow) machine.clearLostResponses()
            if (!machine.leaseExpired) stragglers.stopStragglers(machine, now)
        }
    }

    private fun isLeaseExpiryCertain(machine: Machine, now: Long): Boolean =
        now - machine.leaseStartMs > leases.guaranteedExpiryMs &&
            now - machine.lastHeartbeatMs > leases.guaranteedExpiryMs

    private fun expireLease(machine: Machine) {
        log.info(
            "partition={} machine={} attempts={} lease expired, attempts released",
            zone,
            machine.id,
            machine.attempts.size,
        )
        machine.expireLease()
        val withUnknownTasks = state.unknownUsage.withUnknownTasks
        val holdsEndedJobs = machine.attempts.values.any { it.job.finished } || machine.id in withUnknownTasks
        if (holdsEndedJobs) state.health.markUnresponsiveWithEndedJobs(machine.id)
        withUnknownTasks.remove(machine.id)
        state.attempts.releaseAll(machine)
    }

    /** Removes a machine that no longer exists, as the cloud has confirmed; its id is never reused. */
    fun release(id: String) {
        state.machines.markReleased(id)
        forget(id)
        state.machines.rejectFurtherHeartbeats(id)
    }

    /**
     * Removes a machine that the cloud has not listed since long after its lease expired. If it reports after all, it
     * is added as a new machine.
     */
    fun forget(id: String) {
        state.unknownUsage.forget(id)
        state.health.forget(id)
        val machine = state.machines[id] ?: return
        state.attempts.releaseAll(machine)
        state.machines.remove(machine)
    }
}
