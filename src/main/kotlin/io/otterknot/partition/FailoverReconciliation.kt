package io.otterknot.partition

import io.otterknot.scheduling.Machine
import org.slf4j.LoggerFactory

/**
 * Determines, after an acquisition of leadership, which attempts of an earlier leader are still running. A machine is
 * reconciled once a heartbeat shows this leader's fencing token, since no command of an earlier leader can reach it
 * from then on. A task that an earlier leader may have started is unreconciled, and is not started, until every machine
 * that could hold it is reconciled, released, or past its lease.
 */
class FailoverReconciliation(
    private val term: LeadershipTerm,
    private val evidence: LeaderEvidence,
    private val unreconciled: MachineSet,
    private val machines: PartitionMachines,
    private val jobs: PartitionJobs,
) {
    private val log = LoggerFactory.getLogger(FailoverReconciliation::class.java)

    /** Whether reconciliation is complete: no task is unreconciled any more. */
    var isComplete = false
        private set

    /** When the partition was acquired, or null if reconciliation is complete. */
    val acquiredMsWhileUnreconciled: Long? get() = if (isComplete) null else term.acquiredMs

    /**
     * Whether leadership may be transferred: another leader would soon complete its own reconciliation. While an
     * earlier leader may still act, the new one would have to wait until that is over before the leases of unresponsive
     * machines count as expired, so that a single dead machine would delay all unreconciled tasks.
     */
    fun mayTransferLeadership(now: Long): Boolean = isComplete && now > term.priorLeaderUntilMs

    /** The types of the machines that an earlier leader registered and that have not reported to this leader yet. */
    fun unreportedMachineTypes(): List<String> =
        if (isComplete) emptyList() else unreconciled.filter { machines[it] == null }.values.toList()

    /**
     * Marks [machine] as reconciled: a heartbeat shows this leader's fencing token, and the attempts in it are booked.
     */
    fun machineReconciled(machine: Machine, now: Long) {
        if (unreconciled.remove(machine.id)) completeIfReconciled(now)
    }

    /**
     * Handles a heartbeat that shows an earlier leader's fencing token: a response of that leader could still reach
     * [machine]. This leader's response may renew the lease for the attempts that the machine holds from the earlier
     * leader, so the lease is counted from this heartbeat. A response to a heartbeat that arrived long after that
     * leader could last act cannot renew it, since the lease has expired by then and a worker drops late responses;
     * the machine no longer counts as unreconciled then. Without this limit, a machine that no response reaches would
     * prevent the reconciliation from completing.
     */
    fun priorTokenShown(machine: Machine, now: Long) {
        machine.markUnreconciled()
        val noRenewalMs = term.priorLeaderUntilMs + evidence.leases.noRenewalAfterMs
        if (now <= noRenewalMs) {
            machine.leaseMayStart(now)
        } else if (evidence.confirmation.isConfirmedAfter(noRenewalMs)) {
            machineReconciled(machine, now)
        }
    }

    /**
     * Removes the unreconciled machines whose leases have certainly expired, and completes the reconciliation if none
     * is left.
     */
    fun completeIfReconciled(now: Long) {
        if (isComplete) return
        unreconciled.removeIf { isLeaseExpiryCertain(it, now) }
        if (!unreconciled.isEmpty) return
        isComplete = true
        val taskCount = jobs.makeUnreconciledTasksPending()
        log.info(
            "partition={} since_acquisition_ms={} tasks={} reconciliation complete, unreconciled tasks made pending",
            term.zone,
            now - term.acquiredMs,
            taskCount,
        )
    }

    private fun isLeaseExpiryCertain(machineId: String, now: Long): Boolean {
        val expiryMs = guaranteedLeaseExpiryMs(machineId)
        return expiryMs < now && evidence.confirmation.isConfirmedAfter(expiryMs)
    }

    /**
     * When the lease of a machine will certainly have expired, unless this leader renews it again. A response with the
     * new token renews the lease of a machine that still holds an earlier leader's tasks: if the machine then becomes
     * unresponsive, its lease expires later than the leases of machines that never reported to this leader.
     */
    private fun guaranteedLeaseExpiryMs(machineId: String): Long {
        val lastRenewalMs = machines[machineId]?.leaseStartMs ?: term.priorLeaderUntilMs
        return maxOf(term.priorLeaderUntilMs, lastRenewalMs) + evidence.leases.guaranteedExpiryMs
    }
}
