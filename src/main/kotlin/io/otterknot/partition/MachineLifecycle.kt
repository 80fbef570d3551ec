package io.otterknot.partition

import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.StartReason
import org.slf4j.LoggerFactory

/** Takes machines whose lease has expired out of service, and releases their attempts once that is certain. */
class MachineLifecycle(
    private val zone: String,
    private val evidence: LeaderEvidence,
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
            if (!machine.leaseExpired && guaranteedLeaseExpiryMs(machine) < now) expireLease(machine)
            if (machine.leaseExpired) releaseAttemptsIfConfirmed(machine)
            if (isLeaderSlow) machine.clearLostResponses()
            if (!machine.leaseExpired) stragglers.stopStragglers(machine, now)
        }
    }

    /** When the lease of [machine] will certainly have expired, unless this leader renews it again. */
    private fun guaranteedLeaseExpiryMs(machine: Machine): Long =
        maxOf(machine.leaseStartMs, machine.lastHeartbeatMs) + evidence.leases.guaranteedExpiryMs

    private fun expireLease(machine: Machine) {
        log.info("partition={} machine={} attempts={} lease expired", zone, machine.id, machine.attempts.size)
        val holdsEndedJobs = machine.attempts.values.any { it.job.finished } ||
            machine.id in state.unknownUsage.withUnknownTasks
        if (holdsEndedJobs) state.health.markUnresponsiveWithEndedJobs(machine.id)
        machine.expireLease()
        state.attempts.releaseUnsent(machine)
    }

    /** Until the leadership is confirmed, another leader may have renewed the lease. */
    private fun releaseAttemptsIfConfirmed(machine: Machine) {
        val withUnknownTasks = state.unknownUsage.withUnknownTasks
        if (machine.attempts.isEmpty() && machine.id !in withUnknownTasks) return
        if (!evidence.confirmation.isConfirmedAfter(guaranteedLeaseExpiryMs(machine))) return
        withUnknownTasks.remove(machine.id)
        state.attempts.giveUpAll(machine, StartReason.LEASE_EXPIRED)
    }
}
