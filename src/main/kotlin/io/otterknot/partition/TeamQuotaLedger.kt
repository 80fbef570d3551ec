package io.otterknot.partition

import io.otterknot.records.QuotaAmount
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/**
 * The usage of each team's quota share in one partition. Teams have dense indices in the order of [teams]; -1 stands
 * for a team that the settings do not name. All of [unknownUsage] counts as used by every team.
 */
class TeamQuotaLedger(private val teams: List<TeamQuota>, private val unknownUsage: UnknownUsage) {
    private val indexByName = Object2IntOpenHashMap<String>().apply {
        defaultReturnValue(UNKNOWN_TEAM)
        teams.forEachIndexed { index, team -> put(team.name, index) }
    }
    private val usedCores = DoubleArray(teams.size)
    private val usedGpus = DoubleArray(teams.size)
    private val usedMemoryGb = DoubleArray(teams.size)

    /** As [usedCores], but a task counts with its equivalent cores, see [io.otterknot.scheduling.HeartbeatSpace]. */
    private val usedEquivalentCores = DoubleArray(teams.size)

    val names: List<String> = teams.map { it.name }

    fun index(name: String): Int = indexByName.getInt(name)

    /** Used equivalent cores divided by weight, for fair share: jobs of teams with lower values are placed first. */
    fun pressure(team: Int): Double = if (team < 0) 0.0 else usedEquivalentCores[team] / teams[team].weight

    /** The resources of a team's booked tasks in this partition. */
    fun usage(team: Int): Resources =
        if (team < 0) Resources.NONE else Resources(usedCores[team], usedMemoryGb[team], usedGpus[team])

    /** Books one task of [spec] that takes [equivalentCores] of its machine. */
    fun book(team: Int, spec: JobSpec, equivalentCores: Double = spec.cores) =
        addUsage(team, spec, equivalentCores, tasks = 1)

    fun unbook(team: Int, spec: JobSpec, equivalentCores: Double = spec.cores) =
        addUsage(team, spec, equivalentCores, tasks = -1)

    private fun addUsage(team: Int, spec: JobSpec, equivalentCores: Double, tasks: Int) {
        if (team < 0) return
        usedEquivalentCores[team] += equivalentCores * tasks
        usedCores[team] += spec.cores * tasks
        usedGpus[team] += spec.gpus * tasks
        usedMemoryGb[team] += spec.memoryGb * tasks
    }

    /** Sets a team's quota share. Returns false if the settings do not name the team. */
    fun setQuotaShare(name: String, quotaShare: QuotaAmount): Boolean {
        val team = index(name)
        if (team < 0) return false
        teams[team].quotaShare = quotaShare
        return true
    }

    /**
     * The rest of a team's quota share, negative if the team exceeds it. A machine that is not reconciled yet, or that
     * reports a task not booked here, may be full of the team's tasks, including tasks of ended jobs, so its whole
     * capacity counts as used. If that capacity is unknown, nothing remains.
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

    private fun atMost(count: Int, available: Double, perTask: Double): Int =
        if (perTask > 0) minOf(count.toDouble(), (available + Machine.EPSILON) / perTask).toInt() else count

    /**
     * What the pending tasks of a team need in addition to its quota share; nothing while the share allows one more
     * task of each job to start.
     */
    fun need(name: String, jobs: List<PartitionJob>): QuotaAmount {
        val team = index(name)
        if (team < 0) return QuotaAmount()
        val remaining = remaining(team)
        val pendingJobs = pendingJobs(team, jobs)
        if (pendingJobs.all { remaining.covers(it.spec) }) return QuotaAmount()
        return (needed(pendingJobs) - remaining).atLeastZero()
    }

    /**
     * How much of a team's quota share can be transferred to another partition: what exceeds the need of the pending
     * tasks here, or, with [toEarlierZone], all of the rest if it is too small for any pending task here. The latter
     * applies in one direction only: otherwise two partitions might each hold half of what a task needs.
     */
    fun spare(name: String, jobs: List<PartitionJob>, toEarlierZone: Boolean): QuotaAmount {
        val team = index(name)
        if (team < 0) return QuotaAmount()
        val remaining = remaining(team)
        val pendingJobs = pendingJobs(team, jobs)
        val isInsufficient = toEarlierZone && pendingJobs.isNotEmpty() && pendingJobs.none { remaining.covers(it.spec) }
        return (if (isInsufficient) remaining else remaining - needed(pendingJobs)).atLeastZero()
    }

    /** The sum over the teams of [coresOf], for each at most the cores of its quota share. */
    fun sumWithinQuotaShares(coresOf: (team: Int) -> Double): Double =
        teams.indices.sumOf { minOf(coresOf(it), teams[it].quotaShare.cores) }

    private fun pendingJobs(team: Int, jobs: List<PartitionJob>) =
        jobs.filter { it.team == team && !it.pending.isEmpty }

    private fun needed(pendingJobs: List<PartitionJob>) = QuotaAmount(
        cores = pendingJobs.sumOf { it.pendingCount * it.spec.cores },
        gpus = pendingJobs.sumOf { it.pendingCount * it.spec.gpus },
    )

    private fun QuotaAmount.covers(spec: JobSpec) =
        spec.cores <= cores + Machine.EPSILON && spec.gpus <= gpus + Machine.EPSILON

    private fun QuotaAmount.atLeastZero() = QuotaAmount(maxOf(0.0, cores), maxOf(0.0, gpus))

    private companion object {
        const val UNKNOWN_TEAM = -1
    }
}
