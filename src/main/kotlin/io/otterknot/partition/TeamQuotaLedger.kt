package io.otterknot.partition

import io.otterknot.records.QuotaAmount
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/**
 * What each team uses of its quota share in one partition. Teams have dense indices in the order of [teams];
 * -1 stands for one that the settings do not name. All of [unknownUsage] counts as used by every team.
 */
class TeamQuotaLedger(private val teams: List<TeamQuota>, private val unknownUsage: UnknownUsage) {
    private val indexByName = Object2IntOpenHashMap<String>().apply {
        defaultReturnValue(UNKNOWN_TEAM)
        teams.forEachIndexed { index, team -> put(team.name, index) }
    }
    private val usedCores = DoubleArray(teams.size)
    private val usedGpus = DoubleArray(teams.size)
    private val usedMemoryGb = DoubleArray(teams.size)

    val names: List<String> = teams.map { it.name }

    fun index(name: String): Int = indexByName.getInt(name)

    /** Used cores by weight, for fair share: the lower, the sooner the team's jobs are served. */
    fun pressure(team: Int): Double = if (team < 0) 0.0 else usedCores[team] / teams[team].weight

    /** What the tasks of a team that are booked here take. */
    fun usage(team: Int): Resources =
        if (team < 0) Resources.NONE else Resources(usedCores[team], usedMemoryGb[team], usedGpus[team])

    fun book(team: Int, spec: JobSpec) = addUsage(team, spec, 1)

    fun unbook(team: Int, spec: JobSpec) = addUsage(team, spec, -1)

    private fun addUsage(team: Int, spec: JobSpec, tasks: Int) {
        if (team < 0) return
        usedCores[team] += spec.cores * tasks
        usedGpus[team] += spec.gpus * tasks
        usedMemoryGb[team] += spec.memoryGb * tasks
    }

    /** False: the settings do not name the team. */
    fun setQuotaShare(name: String, quotaShare: QuotaAmount): Boolean {
        val team = index(name)
        if (team < 0) return false
        teams[team].quotaShare = quotaShare
        return true
    }

    /**
     * What a team may still use, less than nothing if it uses too much. A machine that is not known yet, or that shows
     * a task not booked here, may be full of its tasks, also of jobs that have ended.
     */
    private fun remaining(team: Int): QuotaAmount {
        val remaining = teams[team].quotaShare - QuotaAmount(usedCores[team], usedGpus[team])
        return remaining - (unknownUsage.total() ?: return QuotaAmount())
    }

    /** How many tasks like [spec] the team may start, at most [wanted]. */
    fun startable(team: Int, spec: JobSpec, wanted: Int): Int {
        val remaining = remaining(team)
        val byCores = atMost(wanted, remaining.cores, spec.cores)
        return maxOf(0, atMost(byCores, remaining.gpus, spec.gpus))
    }

    private fun atMost(count: Int, available: Double, forEach: Double): Int =
        if (forEach > 0) minOf(count.toDouble(), (available + Machine.EPSILON) / forEach).toInt() else count

    /** What the waiting tasks of a team need beyond the quota share; nothing while it lets one of each job start. */
    fun need(name: String, jobs: List<PartitionJob>): QuotaAmount {
        val team = index(name)
        if (team < 0) return QuotaAmount()
        val remaining = remaining(team)
        val waiting = waiting(team, jobs)
        if (waiting.all { remaining.covers(it.spec) }) return QuotaAmount()
        return (needed(waiting) - remaining).atLeastZero()
    }

    /**
     * What can be given away of a team's quota share: what nothing here waits for, or, with [toEarlierZone], what is
     * too little for any task here; only in one direction, or two partitions would hold half each of what a task needs.
     */
    fun spare(name: String, jobs: List<PartitionJob>, toEarlierZone: Boolean): QuotaAmount {
        val team = index(name)
        if (team < 0) return QuotaAmount()
        val remaining = remaining(team)
        val waiting = waiting(team, jobs)
        val isUseless = toEarlierZone && waiting.isNotEmpty() && waiting.none { remaining.covers(it.spec) }
        return (if (isUseless) remaining else remaining - needed(waiting)).atLeastZero()
    }

    /** The sum over the teams of [coresOf], for each at most the cores of its quota share. */
    fun sumWithinQuotaShares(coresOf: (team: Int) -> Double): Double =
        teams.indices.sumOf { minOf(coresOf(it), teams[it].quotaShare.cores) }

    private fun waiting(team: Int, jobs: List<PartitionJob>) = jobs.filter { it.team == team && !it.pending.isEmpty }

    private fun needed(waiting: List<PartitionJob>) = QuotaAmount(
        cores = waiting.sumOf { it.pendingCount * it.spec.cores },
        gpus = waiting.sumOf { it.pendingCount * it.spec.gpus },
    )

    private fun QuotaAmount.covers(spec: JobSpec) =
        spec.cores <= cores + Machine.EPSILON && spec.gpus <= gpus + Machine.EPSILON

    private fun QuotaAmount.atLeastZero() = QuotaAmount(maxOf(0.0, cores), maxOf(0.0, gpus))

    private companion object {
        const val UNKNOWN_TEAM = -1
    }
}
