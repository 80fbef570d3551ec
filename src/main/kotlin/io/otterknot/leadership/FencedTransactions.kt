package io.otterknot.leadership

import io.otterknot.partition.Partition
import io.otterknot.records.StoreKeys
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.StoreReplica
import io.otterknot.store.TransactionOutcome
import io.otterknot.store.WriteLimits
import io.otterknot.wire.VersionCondition
import kotlinx.coroutines.delay
import kotlin.random.Random

/** A change by a partition's owner that must be settled before the owner goes on. */
class FencedTransactions(
    private val client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val ownership: PartitionLeadership,
    private val partitions: Map<String, Partition>,
    private val limits: WriteLimits,
    private val random: Random,
) {
    enum class Settled { APPLIED, NOT_APPLIED, PART_LOST }

    /**
     * Sends [change], guarded by the partition's key besides, until it is applied or surely never will
     * be, and waits until the replica shows which. A missing answer is settled by the same transaction again: it
     * applies, or the key has changed, by the first one carried out after all or by another; a late one is then ruled
     * out. One that is refused for its size is not carried out. If an earlier try of it had no answer, that one may
     * still be, and nothing else rules it out: the partition is then claimed anew, under a token that its guard does
     * not know.
     */
    suspend fun settle(partition: Partition, change: CompareAndSwap): Settled {
        val owner = VersionCondition(StoreKeys.partition(partition.zone), partition.fencingToken)
        val owned = change.withCondition(owner)
        var unanswered = false
        while (partitions[partition.zone] === partition) {
            client.rateLimiter.acquireSpare(1, lowPriority = true)
            when (val outcome = client.transact(owned)) {
                is TransactionOutcome.Applied -> return shown(outcome.revision, partition, Settled.APPLIED)

                is TransactionOutcome.Conflict -> {
                    if (owner.key in outcome.failedKeys) ownership.leadershipLost(partition.zone)
                    return shown(outcome.revision, partition, Settled.NOT_APPLIED)
                }

                is TransactionOutcome.Refused -> {
                    if (outcome.isTooLarge) {
                        limits.reduceAfterRefusal(change.changes)
                        if (!unanswered) return Settled.NOT_APPLIED
                        ownership.leadershipLost(partition.zone)
                    }
                    delay(400 + random.nextLong(600))
                }

                is TransactionOutcome.Unknown -> {
                    unanswered = true
                    delay(400 + random.nextLong(600))
                }
            }
        }
        return Settled.PART_LOST
    }

    /** Waits until the replica shows the outcome, for as long as the partition is ours. */
    private suspend fun shown(revision: Long, partition: Partition, settled: Settled): Settled {
        while (partitions[partition.zone] === partition) {
            if (replica.awaitRevision(revision, REACH_MS)) return settled
        }
        return Settled.PART_LOST
    }

    private companion object {
        const val REACH_MS = 2_000L
    }
}
