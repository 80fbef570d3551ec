package io.otterknot.partition

import io.otterknot.scheduling.Machine
import org.slf4j.LoggerFactory

/**
 * Finds out, after an acquisition of leadership, what an earlier leader may have left running. A machine counts as
 * known only once a heartbeat shows this leader's fencing token, since no command of an earlier leader can reach it
 * from then on. A task that an earlier leader may have started is in doubt, and starts nowhere, until every machine
 * that could hold it is known, gone, or past its lease.
 */
class FailoverReconciliation(
    private val term: LeadershipTerm,
    private val leases: LeaseTimings,
    private val unreconciled: MachineSet,
    private val machines: MachineBook,
    private val jobs: JobBook,
) {
    private val log = LoggerFactory.getLogger(FailoverReconciliation::class.java)

    /** No task is in doubt any more. */
    var isComplete = false
        private set

    /** When the partition was acquired, while that leaves tasks in doubt; null: none is. */
    val acquiredMsWhileInDoubt: Long? get() = if (isComplete) null else term.acquiredMs

    /**
     * Whether another leader would soon complete its reconciliation. While an earlier one may still act, it would have
     * to wait for that one's end before time settles what a single dead machine leaves in doubt.
     */
    fun mayTransferLeadership(now: Long): Boolean = isComplete && now > term.priorLeaderUntilMs

    /** The types of machines that an earlier leader had registered and that have not reported yet. */
    fun unreportedMachineTypes(): List<String> =
        if (isComplete) emptyList() else unreconciled.filter { machines[it] == null }.values.toList()

    /** A heartbeat of [machine] shows this leader's fencing token, and what it reports is booked. */
    fun machineReconciled(machine: Machine, now: Long) {
        if (unreconciled.remove(machine.id)) completeIfSettled(now)
    }

    /**
     * A heartbeat does not show this leader's fencing token yet: a response of an earlier leader could still reach
     * [machine]. Our response may prolong the lease of what it holds from that leader, so the doubt is counted from
     * this heartbeat; but no response to a heartbeat that came long after the acquisition can, since that lease has
     * expired and a worker drops late responses. Without this end, a machine that no response reaches would keep a
     * partition in doubt for ever.
     */
    fun priorTokenShown(machine: Machine, now: Long) {
        machine.markUnreconciled()
        if (now - term.priorLeaderUntilMs <= leases.noRenewalAfterMs) {
            machine.leaseMayStart(now)
        } else {
            machineReconciled(machine, now)
        }
    }

    /** Settles by time the machines that have not shown the token, and completes once none is left. */
    fun completeIfSettled(now: Long) {
        if (isComplete) return
        unreconciled.removeIf { isSurelyExpired(it, now) }
        if (!unreconciled.isEmpty) return
        isComplete = true
        val taskCount = jobs.resolveDoubts()
        log.info(
            "partition={} since_acquisition_ms={} tasks={} reconciliation complete, tasks in doubt may start",
            term.zone,
            now - term.acquiredMs,
            taskCount,
        )
    }

    /**
     * A response with the new token renews the lease of a machine that still holds an earlier leader's tasks. If it
     * then falls silent, its lease expires that much later than those of machines that never reported.
     */
    private fun isSurelyExpired(machineId: String, now: Long): Boolean {
        val lastRenewalMs = machines[machineId]?.leaseStartMs ?: term.priorLeaderUntilMs
        return now - maxOf(term.priorLeaderUntilMs, lastRenewalMs) > leases.surelyExpiredAfterMs
    }
}
