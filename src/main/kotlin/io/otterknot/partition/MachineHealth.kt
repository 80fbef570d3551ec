package io.otterknot.partition

import io.otterknot.scheduling.Machine

/**
 * Which machines of a partition do nothing any more and hold others up, so that they are to be given back: the cloud's
 * answer settles sooner than a lease what became of their tasks.
 */
class MachineHealth(
    private val machines: () -> List<Machine>,
    private val isKnown: (id: String) -> Boolean,
    private val unreconciled: UnreconciledMachines,
) {
    /**
     * Machines whose lease ended with tasks of jobs that are over on them: hung, they may hold them still, and go back.
     */
    private val withEndedJobs = HashSet<String>()

    fun hangsWithEndedJobs(id: String) {
        withEndedJobs.add(id)
    }

    /** The machine reports again, or is gone. */
    fun forget(id: String) {
        withEndedJobs.remove(id)
    }

    /**
     * Machines that have stopped reporting for [afterMs] while most others go on, and that hold tasks or doubts up.
     * [claimedMs]: when the partition was claimed, as long as that leaves doubts; null: none is left.
     */
    fun hung(now: Long, afterMs: Long, claimedMs: Long?): List<String> =
        (withEndedJobs + quiet(now, afterMs, claimedMs)).toList()

    private fun quiet(now: Long, afterMs: Long, claimedMs: Long?): List<String> {
        val talking = machines().filter { !it.leaseExpired }
        val quiet = talking.filter { now - it.lastHeartbeatMs > afterMs }
        if (talking.size < FEWEST_TALKING || quiet.size * 3 > talking.size) return emptyList()
        val lively = talking.count { now - it.lastHeartbeatMs < afterMs / 2 }
        if (lively * 2 < talking.size) return emptyList()
        val holding = quiet.filter { it.attempts.isNotEmpty() || it.id in unreconciled }.map { it.id }
        if (claimedMs == null) return holding
        return holding + neverHeard(now - claimedMs, afterMs, talking.size)
    }

    /**
     * Machines that have not reported since the claim while most have. In a large partition one or two are dead at any
     * time, and they hold all its waiting tasks up: when so few are missing, nobody waits for them as long as for many.
     */
    private fun neverHeard(sinceClaimMs: Long, afterMs: Long, talking: Int): Collection<String> {
        if (unreconciled.size * 3 > talking) return emptyList()
        val missing = unreconciled.filter { !isKnown(it) }.keys
        val waitMs = if (missing.size * FEW_MISSING <= talking) afterMs * 2 / 3 else afterMs
        return if (sinceClaimMs < waitMs) emptyList() else missing
    }

    /** Machines whose reports arrive while answers to them are lost again and again. */
    fun unreachable(): List<String> = machines().filter { it.lostResponses >= UNREACHABLE }.map { it.id }

    private companion object {
        const val FEWEST_TALKING = 3

        /** One in so many. */
        const val FEW_MISSING = 50
        const val UNREACHABLE = 5
    }
}
