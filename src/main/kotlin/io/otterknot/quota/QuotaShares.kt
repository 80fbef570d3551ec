package io.otterknot.quota

import io.otterknot.config.TeamSettings
import io.otterknot.partition.Partition
import io.otterknot.records.QuotaAmount
import io.otterknot.records.QuotaSharesRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.store.Snapshot
import io.otterknot.store.StoreReplica

/**
 * How each team's quota limit is divided among the partitions, as the replica shows it. The shares of a team add up to
 * its limit at any time; they change only by [QuotaTransfers].
 */
class QuotaShares(
    private val replica: StoreReplica,
    private val partitions: Map<String, Partition>,
    private val teams: List<TeamSettings>,
    private val zones: List<String>,
) {
    /** Shares from which an amount is being transferred with an unknown outcome: they stay lowered meanwhile. */
    private val lowered = HashSet<ShareKey>()

    private data class ShareKey(val zone: String, val team: String)

    /** The names of the teams that have a limit at all. */
    val limitedTeams: List<String> = teams.filter { it.cpusMax > 0 || it.gpusMax > 0 }.map { it.name }

    /** The shares of [team], a team of the settings, by zone. */
    fun of(team: String): QuotaSharesRecord = snapshot(team).value ?: evenShares(team)

    /** The stored shares of [team]; without a value until something has been transferred. */
    fun snapshot(team: String): Snapshot<QuotaSharesRecord> =
        replica.snapshot(StoreKeys.quotaShares(team)).map { decodeRecord(QuotaSharesRecord.serializer(), it) }

    /** The replica shows another division of the limit of [team]: the partitions led here take their shares over. */
    fun sharesChanged(team: String) {
        if (teams.none { it.name == team }) return
        val shares = of(team)
        for (partition in partitions.values) {
            if (ShareKey(partition.zone, team) in lowered) continue
            partition.quota.setShare(team, shares.byZone[partition.zone] ?: QuotaAmount())
        }
    }

    /**
     * Runs [transfer] with the share of [team] in [partition] lowered to [remaining], whatever the replica shows
     * meanwhile, and then sets the share to what the replica shows.
     *
     * The giver stops using what it gives before it asks for the transaction, so at no moment can the partitions
     * together use more than the limit ("Team limits" in `docs/design.md`).
     */
    suspend fun whileLowered(
        partition: Partition,
        team: String,
        remaining: QuotaAmount,
        transfer: suspend () -> Unit,
    ) {
        val share = ShareKey(partition.zone, team)
        lowered.add(share)
        partition.quota.setShare(team, remaining)
        try {
            transfer()
        } finally {
            lowered.remove(share)
            sharesChanged(team)
        }
    }

    /** What holds until something has been transferred. */
    private fun evenShares(team: String): QuotaSharesRecord {
        val settings = teams.first { it.name == team }
        return QuotaSharesRecord.even(zones, settings.cpusMax, settings.gpusMax)
    }
}
