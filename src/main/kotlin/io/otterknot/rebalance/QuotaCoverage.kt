package io.otterknot.rebalance

import io.otterknot.config.TeamSettings
import io.otterknot.records.QuotaAmount

/**
 * Which jobs are within their team's guarantee: those that fit into it together with all of the team's unfinished jobs
 * that are more urgent, or as urgent and earlier. A guarantee holds against other teams; within a team its own
 * priorities decide what it is used for. Every controller that has read as much of the state finds the same.
 */
class QuotaCoverage(teams: List<TeamSettings>) {
    private val guarantees = teams.filter { it.cpus > 0 || it.gpus > 0 }.associateBy { it.name }

    /** Whether any team has a guarantee at all. */
    val isEmpty: Boolean get() = guarantees.isEmpty()

    /** The ids of the jobs within their team's guarantee. */
    fun covered(jobs: Collection<UnfinishedJob>): Set<String> {
        val covered = HashSet<String>()
        for ((team, ofTeam) in jobs.groupBy { it.team }) {
            val guarantee = guarantees[team] ?: continue
            val inOrder = ofTeam.sortedWith(MOST_URGENT_FIRST)
            var taken = QuotaAmount()
            for (job in inOrder) {
                taken += job.amount
                if (!fits(taken, guarantee)) break
                covered.add(job.id)
            }
        }
        return covered
    }

    private fun fits(taken: QuotaAmount, guarantee: TeamSettings): Boolean =
        taken.cores <= guarantee.cpus + RESOURCE_EPSILON && taken.gpus <= guarantee.gpus + RESOURCE_EPSILON

    private companion object {
        const val RESOURCE_EPSILON = 1e-6
        val MOST_URGENT_FIRST = compareBy<UnfinishedJob> { it.priority }.thenBy { it.submittedMs }.thenBy { it.id }
    }
}
