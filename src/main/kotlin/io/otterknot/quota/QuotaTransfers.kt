package io.otterknot.quota

import io.otterknot.leadership.FencedTransactions
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import io.otterknot.records.QuotaAmount
import io.otterknot.records.QuotaSharesRecord
import io.otterknot.records.encodeRecord
import io.otterknot.scheduling.PartitionView
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.WriteLimits
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Transfers the part of a team's quota share that one partition can spare to a partition that needs it. The leader of
 * the source partition does this.
 */
class QuotaTransfers(
    private val shares: QuotaShares,
    private val transactions: FencedTransactions,
    private val leadership: PartitionLeadership,
    private val partitions: Map<String, Partition>,
    private val views: Map<String, PartitionView>,
    private val limits: WriteLimits,
    private val random: Random,
) {
    private val log = LoggerFactory.getLogger(QuotaTransfers::class.java)

    /** Periodically transfers quota from the partitions that this controller leads, until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PERIOD_MS + random.nextLong(PERIOD_JITTER_MS))
            for (partition in partitions.values.toList()) {
                for (team in shares.limitedTeams) transferIfNeeded(partition, team)
            }
        }
    }

    private suspend fun transferIfNeeded(partition: Partition, team: String) {
        if (!leadership.mayActFor(partition) || !partition.reconciled) return
        val receiver = views.values.firstOrNull { it.zone != partition.zone && team in it.needs } ?: return
        val need = receiver.needs.getValue(team)
        val spare = partition.quota.spare(team, receiver.zone)
        val amount = QuotaAmount(minOf(spare.cores, need.cores), minOf(spare.gpus, need.gpus))
        if (amount.cores < MIN_AMOUNT && amount.gpus < MIN_AMOUNT) return
        transfer(partition, team, receiver.zone, amount)
    }

    private suspend fun transfer(partition: Partition, team: String, receiver: String, amount: QuotaAmount) {
        val zone = partition.zone
        val stored = shares.snapshot(team)
        val record = stored.value ?: shares.of(team)
        val share = record.byZone[zone] ?: return
        val value = encodeRecord(QuotaSharesRecord.serializer(), record.transferred(zone, receiver, amount))
        val change = CompareAndSwap.put(stored, value)
        if (!limits.fits(change)) return
        shares.withLoweredShare(partition, team, remaining = share - amount) {
            val settlement = transactions.settle(partition, change)
            log.info(
                "partition={} team={} receiver={} cores={} cards={} settlement={} quota transfer settled",
                zone,
                team,
                receiver,
                amount.cores,
                amount.gpus,
                settlement,
            )
        }
    }

    private companion object {
        const val PERIOD_MS = 1_000L
        const val PERIOD_JITTER_MS = 500L

        /** Minimum amount of a transfer, in cores or GPUs; anything smaller is a rounding error. */
        const val MIN_AMOUNT = 1e-3
    }
}
