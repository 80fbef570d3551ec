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

/** What has become of a change by a partition's leader; final in each case. */
enum class Settlement {
    /** Carried out, and the replica shows it. */
    APPLIED,

    /** Not carried out and never will be, and the replica shows what the key holds instead. */
    NOT_APPLIED,

    /** The partition is not led here any more, so the next leader learns from the store what has become of it. */
    LEADERSHIP_LOST,
}

/** Transactions by a partition's leader whose outcome must be settled before the leader goes on. */
class FencedTransactions(
    private val client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val leadership: PartitionLeadership,
    private val partitions: Map<String, Partition>,
    private val limits: WriteLimits,
    private val random: Random,
) {
    /**
     * Sends [change], guarded by the leader record of [partition] besides, until it is applied or surely never will be,
     * and waits until the replica shows which.
     *
     * A missing answer is settled by the same transaction again: it applies, or the key has changed, by the first one
     * carried out after all or by another; a late one is then ruled out ("Late transactions" in `docs/design.md`). One
     * that is refused for its size is not carried out. If an earlier try of it had no answer, that one may still be, and
     * nothing else rules it out: the partition is then acquired anew, under a fencing token that its guard does not know.
     */
    suspend fun settle(partition: Partition, change: CompareAndSwap): Settlement {
        val attempts = Attempts(partition, change)
        while (isLed(partition)) {
            val settlement = attempts.next()
            if (settlement != null) return settlement
            delay(RETRY_MIN_MS + random.nextLong(RETRY_JITTER_MS))
        }
        return Settlement.LEADERSHIP_LOST
    }

    /** Waits until the replica shows the outcome, for as long as the partition is led here. */
    private suspend fun awaitShown(revision: Long, partition: Partition, settlement: Settlement): Settlement {
        while (isLed(partition)) {
            if (replica.awaitRevision(revision, REPLICA_WAIT_MS)) return settlement
        }
        return Settlement.LEADERSHIP_LOST
    }

    /** Whether [partition] is still served under the acquisition that it was made for. */
    private fun isLed(partition: Partition): Boolean = partitions[partition.zone] === partition

    /** The attempts at one change: all of them the same transaction. */
    private inner class Attempts(private val partition: Partition, private val change: CompareAndSwap) {
        private val leaderCondition = VersionCondition(StoreKeys.partition(partition.zone), partition.fencingToken)
        private val guarded = change.withCondition(leaderCondition)

        /** Whether an attempt had no answer, so that it may be carried out late. */
        private var hasUnanswered = false

        /** Null: not settled yet. */
        suspend fun next(): Settlement? {
            client.rateLimiter.acquireSpare(1, lowPriority = true)
            return when (val outcome = client.transact(guarded)) {
                is TransactionOutcome.Applied -> awaitShown(outcome.revision, partition, Settlement.APPLIED)

                is TransactionOutcome.Conflict -> {
                    if (leaderCondition.key in outcome.failedKeys) leadership.leadershipLost(partition.zone)
                    awaitShown(outcome.revision, partition, Settlement.NOT_APPLIED)
                }

                is TransactionOutcome.Refused -> if (outcome.isTooLarge) refusedForSize() else null

                is TransactionOutcome.Unknown -> {
                    hasUnanswered = true
                    null
                }
            }
        }

        private fun refusedForSize(): Settlement? {
            limits.reduceAfterRefusal(change.changes)
            if (!hasUnanswered) return Settlement.NOT_APPLIED
            leadership.leadershipLost(partition.zone)
            return null
        }
    }

    private companion object {
        const val RETRY_MIN_MS = 400L
        const val RETRY_JITTER_MS = 600L
        const val REPLICA_WAIT_MS = 2_000L
    }
}
