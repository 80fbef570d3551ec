package io.otterknot.partition

import io.otterknot.records.QuotaAmount
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/**
 * What each team uses of its allotment in one partition. Teams are known by dense indices; -1 stands for a team that
 * the settings do not name. [unknown] is what machines may hold of which it is not known what is on them; null: not
 * known either, so nothing can be said to be left.
 */
class TeamQuotaLedger(private val teams: List<TeamQuota>, private val unknown: () -> QuotaAmount?) {
    private val indexByName = Object2IntOpenHashMap<String>().apply {
        defaultReturnValue(-1)
        teams.forEachIndexed { index, team -> put(team.name, index) }
    }
    private val usedCores = DoubleArray(teams.size)
    private val usedCards = DoubleArray(teams.size)
    private val usedMemoryGb = DoubleArray(teams.size)

    val names: List<String> = teams.map { it.name }

    fun index(name: String): Int = indexByName.getInt(name)

    /** What a team uses for its share: the lower, the sooner its jobs are served. */
    fun pressure(team: Int): Double = if (team < 0) 0.0 else usedCores[team] / teams[team].weight

    /** What the tasks of a team that are booked here take. */
    fun usage(team: Int): Resources =
        if (team < 0) Resources.NONE else Resources(usedCores[team], usedMemoryGb[team], usedCards[team])

    fun book(team: Int, spec: JobSpec) = use(team, spec, 1)

    fun unbook(team: Int, spec: JobSpec) = use(team, spec, -1)

    private fun use(team: Int, spec: JobSpec, tasks: Int) {
        if (team < 0) return
        usedCores[team] += spec.cores * tasks
        usedCards[team] += spec.cards * tasks
        usedMemoryGb[team] += spec.memoryGb * tasks
    }

    /** Whether the team is known. */
    fun allot(name: String, allotment: QuotaAmount): Boolean {
        val team = index(name)
        if (team < 0) return false
        teams[team].allotment = allotment
        return true
    }

    /**
     * What a team may still use. A machine that is not known yet, or that shows a task not booked here, may be full of
     * its tasks, also of jobs that are over: until it is known what is there, all of that machine counts as used.
     */
    fun left(team: Int): QuotaAmount {
        val left = teams[team].allotment - QuotaAmount(usedCores[team], usedCards[team])
        return left - (unknown() ?: return QuotaAmount())
    }

    /** How many tasks like [spec] the team may start, at most [wanted]. */
    fun startable(team: Int, spec: JobSpec, wanted: Int): Int {
        val left = left(team)
        var count = wanted
        if (spec.cores > 0) count = minOf(count.toDouble(), (left.cores + Machine.EPSILON) / spec.cores).toInt()
        if (spec.cards > 0) count = minOf(count.toDouble(), (left.cards + Machine.EPSILON) / spec.cards).toInt()
        return maxOf(0, count)
    }

    /** What the waiting tasks of a team need beyond the allotment; nothing while it lets one of each start. */
    fun need(name: String, jobs: List<PartitionJob>): QuotaAmount {
        val team = index(name)
        if (team < 0) return QuotaAmount()
        val left = left(team)
        val waiting = waiting(team, jobs)
        if (waiting.all { left.covers(it.spec) }) return QuotaAmount()
        return (needed(waiting) - left).atLeastZero()
    }

    /**
     * What can be given of a team's allotment: what nothing here waits for, or, if [toEarlierZone], what is too little
     * for any task here; only in one direction, or two partitions would hold each half of what a task needs.
     */
    fun spare(name: String, jobs: List<PartitionJob>, toEarlierZone: Boolean): QuotaAmount {
        val team = index(name)
        if (team < 0) return QuotaAmount()
        val left = left(team)
        val waiting = waiting(team, jobs)
        val isUseless = toEarlierZone && waiting.isNotEmpty() && waiting.none { left.covers(it.spec) }
        return (if (isUseless) left else left - needed(waiting)).atLeastZero()
    }

    /** The sum over the teams of what [coresOf] says, each no more than its allotment. */
    fun sumWithinAllotments(coresOf: (team: Int) -> Double): Double =
        teams.indices.sumOf { minOf(coresOf(it), teams[it].allotment.cores) }

    private fun waiting(team: Int, jobs: List<PartitionJob>) = jobs.filter { it.team == team && !it.pending.isEmpty }

    private fun needed(waiting: List<PartitionJob>) = QuotaAmount(
        waiting.sumOf {
            it.pendingCount * it.spec.cores
        },
        waiting.sumOf { it.pendingCount * it.spec.cards },
    )

    private fun QuotaAmount.covers(spec: JobSpec) =
        spec.cores <= cores + Machine.EPSILON && spec.cards <= cards + Machine.EPSILON

    private fun QuotaAmount.atLeastZero() = QuotaAmount(maxOf(0.0, cores), maxOf(0.0, cards))
}
