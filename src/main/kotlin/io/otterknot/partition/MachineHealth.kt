package io.otterknot.partition

import io.otterknot.scheduling.Machine

/**
 * Determines which machines of a partition have failed and block tasks or reconciliation, so that they should be
 * released: the cloud's confirmation that a machine no longer exists frees its tasks sooner than the expiry of its
 * lease.
 */
class MachineHealth(private val machines: PartitionMachines, private val unreconciled: MachineSet) {
    /**
     * Unresponsive machines whose lease expired while they held tasks of ended jobs, which they may still be running.
     */
    private val unresponsiveWithEndedJobs = HashSet<String>()

    fun markUnresponsiveWithEndedJobs(id: String) {
        unresponsiveWithEndedJobs.add(id)
    }

    /** Removes a machine that reports again or no longer exists. */
    fun forget(id: String) {
        unresponsiveWithEndedJobs.remove(id)
    }

    /**
     * The ids of machines that have not reported for [timeoutMs] while most others do, and that block tasks or the
     * reconciliation. Machines whose lease expired while they held tasks of ended jobs are included however many others
     * report. [acquiredMs] is when the partition was acquired, or null if reconciliation is complete.
     */
    fun unresponsive(now: Long, timeoutMs: Long, acquiredMs: Long?): List<String> =
        (unresponsiveWithEndedJobs + blockingMachines(now, timeoutMs, acquiredMs)).toList()

    private fun blockingMachines(now: Long, timeoutMs: Long, acquiredMs: Long?): List<String> {
        val leased = machines.all.filter { !it.leaseExpired }
        val unresponsive = leased.filter { now - it.lastHeartbeatMs > timeoutMs }
        if (!areOthersResponsive(leased, unresponsive.size, now, timeoutMs)) return emptyList()
        val blocking = unresponsive.filter { it.attempts.isNotEmpty() || it.id in unreconciled }.map { it.id }
        if (acquiredMs == null) return blocking
        return blocking + neverReported(now - acquiredMs, timeoutMs, leased.size)
    }

    /** Whether most machines respond. If many do not, the fault is more likely in the network or in this controller. */
    private fun areOthersResponsive(leased: List<Machine>, overdueCount: Int, now: Long, timeoutMs: Long): Boolean {
        if (leased.size < MIN_LEASED_MACHINES || overdueCount * MIN_LEASED_PER_UNRESPONSIVE > leased.size) return false
        val recentCount = leased.count { now - it.lastHeartbeatMs < timeoutMs / 2 }
        return recentCount * 2 >= leased.size
    }

    /**
     * Machines that have not reported since the acquisition while most have. In a large partition one or two machines
     * are dead at any time, and they block all its unreconciled tasks: when so few are missing, the timeout is shorter.
     */
    private fun neverReported(sinceAcquisitionMs: Long, timeoutMs: Long, leasedCount: Int): Collection<String> {
        if (unreconciled.size * MIN_LEASED_PER_UNRESPONSIVE > leasedCount) return emptyList()
        val missing = unreconciled.filter { machines[it] == null }.keys
        val areFew = missing.size * MIN_LEASED_PER_MISSING <= leasedCount
        val waitMs = if (areFew) timeoutMs * FEW_MISSING_WAIT_NUMERATOR / FEW_MISSING_WAIT_DENOMINATOR else timeoutMs
        return if (sinceAcquisitionMs < waitMs) emptyList() else missing
    }

    /** Machines whose heartbeats arrive while the responses to them are lost repeatedly. */
    fun losingResponses(): List<String> =
        machines.all.filter { it.lostResponses >= MIN_LOST_RESPONSES_TO_RELEASE }.map { it.id }

    private companion object {
        /** With fewer machines it cannot be determined whether a missing heartbeat is the fault of its machine. */
        const val MIN_LEASED_MACHINES = 3

        /** If more than one machine in this many is unresponsive, the machines are not assumed to be at fault. */
        const val MIN_LEASED_PER_UNRESPONSIVE = 3

        /** The fraction of the timeout after which missing machines are released if they are few. */
        const val FEW_MISSING_WAIT_NUMERATOR = 2
        const val FEW_MISSING_WAIT_DENOMINATOR = 3

        /** Missing machines are few if at least this many machines with a valid lease exist for each of them. */
        const val MIN_LEASED_PER_MISSING = 50
        const val MIN_LOST_RESPONSES_TO_RELEASE = 5
    }
}
