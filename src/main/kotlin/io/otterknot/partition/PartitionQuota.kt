package io.otterknot.partition

import io.otterknot.records.QuotaAmount
import io.otterknot.scheduling.Resources

/** The quota shares of teams in the partition of [zone]: their sizes, what is used, and what may be moved elsewhere. */
class PartitionQuota(
    private val zone: String,
    private val teams: TeamQuotaLedger,
    private val jobs: JobBook,
    private val reconciliation: FailoverReconciliation,
    private val trigger: PlacementTrigger,
) {
    /** What the booked tasks of the team with this index take here. */
    fun usage(team: Int): Resources = teams.usage(team)

    fun setShare(team: String, quotaShare: QuotaAmount) {
        if (teams.setQuotaShare(team, quotaShare)) trigger.requestFullPass()
    }

    /** See [TeamQuotaLedger.need]. */
    fun need(team: String): QuotaAmount = teams.need(team, jobs.all)

    /** What this partition can give of a team's quota share to the partition of [toZone]; nothing while in doubt. */
    fun spare(team: String, toZone: String): QuotaAmount {
        if (!reconciliation.isComplete) return QuotaAmount()
        return teams.spare(team, jobs.all, toEarlierZone = toZone < zone)
    }
}
