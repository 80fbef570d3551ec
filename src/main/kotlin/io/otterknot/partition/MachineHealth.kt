package io.otterknot.partition

import io.otterknot.scheduling.Machine

/**
 * Which machines of a partition do nothing any more and hold others up, so that they are to be released: the cloud's
 * answer settles sooner than a lease what became of their tasks.
 */
class MachineHealth(private val machines: MachineBook, private val unreconciled: MachineSet) {
    /** Machines whose lease expired with tasks of ended jobs on them: unresponsive, they may run them still. */
    private val unresponsiveWithEndedJobs = HashSet<String>()

    fun markUnresponsiveWithEndedJobs(id: String) {
        unresponsiveWithEndedJobs.add(id)
    }

    /** The machine reports again, or is gone. */
    fun forget(id: String) {
        unresponsiveWithEndedJobs.remove(id)
    }

    /**
     * Machines that have not reported for [timeoutMs] while most others do, and that hold up tasks or the
     * reconciliation. [acquiredMs]: when the partition was acquired, while that leaves tasks in doubt; null: none is.
     */
    fun unresponsive(now: Long, timeoutMs: Long, acquiredMs: Long?): List<String> =
        (unresponsiveWithEndedJobs + silent(now, timeoutMs, acquiredMs)).toList()

    private fun silent(now: Long, timeoutMs: Long, acquiredMs: Long?): List<String> {
        val leased = machines.all.filter { !it.leaseExpired }
        val silent = leased.filter { now - it.lastHeartbeatMs > timeoutMs }
        if (!areOthersResponsive(leased, silent.size, now, timeoutMs)) return emptyList()
        val blocking = silent.filter { it.attempts.isNotEmpty() || it.id in unreconciled }.map { it.id }
        if (acquiredMs == null) return blocking
        return blocking + neverReported(now - acquiredMs, timeoutMs, leased.size)
    }

    /** Where many machines are silent, the fault is rather in the network or in this controller. */
    private fun areOthersResponsive(leased: List<Machine>, silentCount: Int, now: Long, timeoutMs: Long): Boolean {
        if (leased.size < MIN_LEASED_MACHINES || silentCount * MIN_LEASED_FOR_EACH_SILENT > leased.size) return false
        val recentCount = leased.count { now - it.lastHeartbeatMs < timeoutMs / 2 }
        return recentCount * 2 >= leased.size
    }

    /**
     * Machines that have not reported since the acquisition while most have. In a large partition one or two are dead
     * at any time, and they hold up all its waiting tasks: when so few are missing, the wait for them is shorter.
     */
    private fun neverReported(sinceAcquisitionMs: Long, timeoutMs: Long, leasedCount: Int): Collection<String> {
        if (unreconciled.size * MIN_LEASED_FOR_EACH_SILENT > leasedCount) return emptyList()
        val missing = unreconciled.filter { machines[it] == null }.keys
        val areFew = missing.size * MIN_LEASED_FOR_EACH_MISSING <= leasedCount
        val waitMs = if (areFew) timeoutMs * FEW_MISSING_WAIT_NUMERATOR / FEW_MISSING_WAIT_DENOMINATOR else timeoutMs
        return if (sinceAcquisitionMs < waitMs) emptyList() else missing
    }

    /** Machines whose heartbeats arrive while the responses to them are lost again and again. */
    fun losingResponses(): List<String> =
        machines.all.filter { it.lostResponses >= MIN_LOST_RESPONSES_TO_RELEASE }.map { it.id }

    private companion object {
        /** Among fewer machines nobody can say whether silence is the machine's fault. */
        const val MIN_LEASED_MACHINES = 3

        /** Silence of more than one machine in so many is no fault of these machines. */
        const val MIN_LEASED_FOR_EACH_SILENT = 3

        /** The part of the timeout after which few missing machines are given up. */
        const val FEW_MISSING_WAIT_NUMERATOR = 2
        const val FEW_MISSING_WAIT_DENOMINATOR = 3

        /** Missing machines are few if there are at least so many that report for each of them. */
        const val MIN_LEASED_FOR_EACH_MISSING = 50
        const val MIN_LOST_RESPONSES_TO_RELEASE = 5
    }
}
