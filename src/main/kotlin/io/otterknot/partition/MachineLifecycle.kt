package io.otterknot.partition

import io.otterknot.scheduling.Machine
import org.slf4j.LoggerFactory

/** Ends what machines hold once their lease has expired, or once the cloud has taken them back. */
class MachineLifecycle(
    private val zone: String,
    private val leases: LeaseTimings,
    private val books: PartitionBooks,
    private val stragglers: StragglerDetector,
) {
    private val log = LoggerFactory.getLogger(MachineLifecycle::class.java)

    /**
     * Expires leases and stops stragglers. With [isLeaderSlow], this controller responds too late for the workers, and
     * no machine is to blame for responses that are lost.
     */
    fun check(now: Long, isLeaderSlow: Boolean) {
        for (machine in books.machines.all) {
            if (!machine.leaseExpired && isLeaseSurelyExpired(machine, now)) expireLease(machine)
            if (isLeaderSlow) machine.clearLostResponses()
            if (!machine.leaseExpired) stragglers.stopStragglers(machine, now)
        }
    }

    private fun isLeaseSurelyExpired(machine: Machine, now: Long): Boolean =
        now - machine.leaseStartMs > leases.surelyExpiredAfterMs &&
            now - machine.lastHeartbeatMs > leases.surelyExpiredAfterMs

    private fun expireLease(machine: Machine) {
        log.info(
            "partition={} machine={} attempts={} lease expired, its attempts have ended",
            zone,
            machine.id,
            machine.attempts.size,
        )
        machine.expireLease()
        val withUnknownTasks = books.unknownUsage.withUnknownTasks
        val holdsEndedJobs = machine.attempts.values.any { it.job.finished } || machine.id in withUnknownTasks
        if (holdsEndedJobs) books.health.markUnresponsiveWithEndedJobs(machine.id)
        withUnknownTasks.remove(machine.id)
        books.attempts.releaseAll(machine)
    }

    /** The cloud has confirmed that the machine and everything on it is gone; its id is never used again. */
    fun release(id: String) {
        books.machines.markReleased(id)
        forget(id)
        books.machines.ignoreForever(id)
    }

    /** The cloud has not listed the machine since long after its lease; should it report after all, it starts anew. */
    fun forget(id: String) {
        books.unknownUsage.forget(id)
        books.health.forget(id)
        val machine = books.machines[id] ?: return
        books.attempts.releaseAll(machine)
        books.machines.remove(machine)
    }
}
