package io.otterknot.quota

import io.otterknot.config.TeamSettings
import io.otterknot.leadership.FencedTransactions
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import io.otterknot.records.QuotaAmount
import io.otterknot.records.QuotaSharesRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.records.encodeRecord
import io.otterknot.scheduling.PartitionView
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.Snapshot
import io.otterknot.store.StoreReplica
import io.otterknot.store.WriteLimits
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Divides each team's limit among the partitions. Only the giver lowers its allotment: it stops using what it gives
 * before it asks for the transaction, so at no moment can the partitions together use more than the limit.
 */
class QuotaShares(
    private val txn: FencedTransactions,
    private val replica: StoreReplica,
    private val ownership: PartitionLeadership,
    private val partitions: Map<String, Partition>,
    private val views: Map<String, PartitionView>,
    private val limits: WriteLimits,
    private val teams: List<TeamSettings>,
    private val zones: List<String>,
    private val random: Random,
) {
    private val log = LoggerFactory.getLogger(QuotaShares::class.java)

    /** Parts and teams with a gift whose outcome is not known: their allotment stays lowered meanwhile. */
    private val giving = HashSet<Pair<String, String>>()

    fun of(team: String): QuotaSharesRecord = snapshot(team).value ?: even(team)

    private fun snapshot(team: String): Snapshot<QuotaSharesRecord> =
        replica.snapshot(StoreKeys.quotaShares(team)).map { decodeRecord(QuotaSharesRecord.serializer(), it) }

    /** What holds until something has been given. */
    private fun even(team: String): QuotaSharesRecord =
        teams.first { it.name == team }.let { QuotaSharesRecord.even(zones, it.cpusMax, it.gpusMax) }

    fun changed(team: String) {
        if (teams.none { it.name == team }) return
        val record = of(team)
        for (partition in partitions.values) {
            if (partition.zone to team !in
                giving
            ) {
                partition.quota.setShare(team, record.byZone[partition.zone] ?: QuotaAmount())
            }
        }
    }

    suspend fun share() {
        while (true) {
            delay(EVERY_MS + random.nextLong(500))
            for (partition in partitions.values.toList()) {
                for (team in teams) if (team.cpusMax > 0 || team.gpusMax > 0) consider(partition, team.name)
            }
        }
    }

    private suspend fun consider(partition: Partition, team: String) {
        if (ownership.token(partition.zone) != partition.fencingToken || !partition.reconciled) return
        val receiver = views.values.firstOrNull { it.zone != partition.zone && team in it.needs } ?: return
        val need = receiver.needs.getValue(team)
        val to = receiver.zone
        val spare = partition.quota.spare(team, to)
        val amount = QuotaAmount(minOf(spare.cores, need.cores), minOf(spare.cards, need.cards))
        if (amount.cores < LEAST && amount.cards < LEAST) return
        give(partition, team, to, amount)
    }

    private suspend fun give(partition: Partition, team: String, to: String, amount: QuotaAmount) {
        val stored = snapshot(team)
        val record = stored.value ?: even(team)
        val mine = record.byZone[partition.zone] ?: return
        val value = encodeRecord(QuotaSharesRecord.serializer(), record.transferred(partition.zone, to, amount))
        val change = CompareAndSwap.put(stored, value)
        if (!limits.fits(change)) return
        giving.add(partition.zone to team)
        partition.quota.setShare(team, mine - amount)
        try {
            val settled = txn.settle(partition, change)
            log.info("{} gives {} of {} to {}: {}", partition.zone, amount, team, to, settled)
        } finally {
            giving.remove(partition.zone to team)
            changed(team)
        }
    }

    private companion object {
        const val EVERY_MS = 1_000L
        const val LEAST = 1e-3
    }
}
