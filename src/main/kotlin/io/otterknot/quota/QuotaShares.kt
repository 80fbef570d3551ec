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
 * The division of each team's quota limit among the partitions, as the replica shows it. The shares of a team always
 * add up to its limit; only [QuotaTransfers] changes them.
 */
class QuotaShares(
    private val replica: StoreReplica,
    private val partitions: Map<String, Partition>,
    private val teams: List<TeamSettings>,
    private val zones: List<String>,
) {
    /** Shares that stay lowered because the outcome of a transfer from them is not known yet. */
    private val loweredShares = HashSet<ShareKey>()

    private data class ShareKey(val zone: String, val team: String)

    /** The names of the teams that have a quota limit. */
    val limitedTeams: List<String> = teams.filter { it.cpusMax > 0 || it.gpusMax > 0 }.map { it.name }

    /** Returns the shares by zone of [team], which must be a team of the settings. */
    fun of(team: String): QuotaSharesRecord = snapshot(team).value ?: evenShares(team)

    /** Returns the stored shares of [team]; the snapshot has no value until the first transfer of the team's quota. */
    fun snapshot(team: String): Snapshot<QuotaSharesRecord> =
        replica.snapshot(StoreKeys.quotaShares(team)).map { decodeRecord(QuotaSharesRecord.serializer(), it) }

    /** Applies the shares of [team] that the replica shows to the partitions that this controller leads. */
    fun sharesChanged(team: String) {
        if (teams.none { it.name == team }) return
        val shares = of(team)
        for (partition in partitions.values) {
            if (ShareKey(partition.zone, team) in loweredShares) continue
            partition.quota.setShare(team, shares.byZone[partition.zone] ?: QuotaAmount())
        }
    }

    /**
     * Runs [transfer] with the share of [team] in [partition] lowered to [remaining], and afterwards sets the share to
     * the value that the replica shows. Changes that the replica shows during [transfer] are not applied to this share.
     *
     * The source partition stops using the amount before it sends the transaction, so the partitions together never use
     * more than the limit ("Team limits" in `docs/design.md`).
     */
    suspend fun withLoweredShare(
        partition: Partition,
        team: String,
        remaining: QuotaAmount,
        transfer: suspend () -> Unit,
    ) {
        val share = ShareKey(partition.zone, team)
        loweredShares.add(share)
        partition.quota.setShare(team, remaining)
        try {
            transfer()
        } finally {
            loweredShares.remove(share)
            sharesChanged(team)
        }
    }

    /** Returns equal shares for all zones, which apply until the first transfer. */
    private fun evenShares(team: String): QuotaSharesRecord {
        val settings = teams.first { it.name == team }
        return QuotaSharesRecord.even(zones, settings.cpusMax, settings.gpusMax)
    }
}
