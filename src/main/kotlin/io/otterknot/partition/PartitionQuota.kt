package io.otterknot.partition

import io.otterknot.records.QuotaAmount
import io.otterknot.scheduling.Resources

/** The quota shares of teams in the partition of [zone]: size, usage, need, and what may be transferred elsewhere. */
class PartitionQuota(
    private val zone: String,
    private val teams: TeamQuotaLedger,
    private val jobs: PartitionJobs,
    private val reconciliation: FailoverReconciliation,
    private val trigger: PlacementTrigger,
) {
    /** The resources of the booked tasks of the team with this index. */
    fun usage(team: Int): Resources = teams.usage(team)

    fun setShare(team: String, quotaShare: QuotaAmount) {
        if (teams.setQuotaShare(team, quotaShare)) trigger.requestFullPass()
    }

    /** See [TeamQuotaLedger.need]. */
    fun need(team: String): QuotaAmount = teams.need(team, jobs.all)

    /**
     * How much of a team's quota share this partition can transfer to the partition of [toZone]; nothing until
     * reconciliation is complete.
     */
    fun spare(team: String, toZone: String): QuotaAmount {
        if (!reconciliation.isComplete) return QuotaAmount()
        return teams.spare(team, jobs.all, toEarlierZone = toZone < zone)
    }
}
