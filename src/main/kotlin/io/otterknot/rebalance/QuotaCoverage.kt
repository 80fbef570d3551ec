package io.otterknot.rebalance

import io.otterknot.config.TeamSettings
import io.otterknot.records.QuotaAmount

/**
 * Determines which jobs are within the guaranteed quota of their team: those that fit into it together with all of the
 * team's unfinished jobs of higher priority, or of the same priority and submitted earlier. A guarantee applies against
 * other teams; within a team, its priorities decide which jobs use it. The result is deterministic: all controllers
 * that have read the same state compute the same jobs.
 */
class QuotaCoverage(teams: List<TeamSettings>) {
    private val guarantees = teams.filter { it.cpus > 0 || it.gpus > 0 }.associateBy { it.name }

    /** Whether no team has a guarantee. */
    val isEmpty: Boolean get() = guarantees.isEmpty()

    /** Returns the ids of the jobs within their team's guarantee. */
    fun withinGuarantee(jobs: Collection<UnfinishedJob>): Set<String> {
        val withinGuarantee = HashSet<String>()
        for ((team, ofTeam) in jobs.groupBy { it.team }) {
            val guarantee = guarantees[team] ?: continue
            val byUrgency = ofTeam.sortedWith(MOST_URGENT_FIRST)
            var used = QuotaAmount()
            for (job in byUrgency) {
                used += job.amount
                if (!fits(used, guarantee)) break
                withinGuarantee.add(job.id)
            }
        }
        return withinGuarantee
    }

    private fun fits(used: QuotaAmount, guarantee: TeamSettings): Boolean =
        used.cores <= guarantee.cpus + RESOURCE_EPSILON && used.gpus <= guarantee.gpus + RESOURCE_EPSILON

    private companion object {
        const val RESOURCE_EPSILON = 1e-6
        val MOST_URGENT_FIRST = compareBy<UnfinishedJob> { it.priority }.thenBy { it.submittedMs }.thenBy { it.id }
    }
}
