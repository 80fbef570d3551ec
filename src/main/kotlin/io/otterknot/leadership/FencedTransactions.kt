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

/** The outcome of a change by a partition's leader. Each outcome is final. */
enum class Settlement {
    /** The change was applied, and the replica shows it. */
    APPLIED,

    /** The change was not applied and cannot be applied later, and the replica shows what the key holds instead. */
    NOT_APPLIED,

    /** This controller no longer leads the partition. The next leader reads from the store whether it was applied. */
    LEADERSHIP_LOST,
}

/** Transactions by a partition's leader whose outcome must be known before the leader continues. */
class FencedTransactions(
    private val client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val leadership: PartitionLeadership,
    private val partitions: Map<String, Partition>,
    private val limits: WriteLimits,
    private val random: Random,
) {
    /**
     * Sends [change], with the leader record of [partition] as an additional condition, until it is applied or cannot
     * be applied any more, and waits until the replica shows the outcome.
     *
     * After an attempt without an answer the same transaction is sent again. Either it is applied, or its condition
     * fails because the key has changed, by the first attempt or by another transaction. In both cases a late attempt
     * cannot be applied any more ("Late transactions" in `docs/design.md`). A transaction that is refused for its size
     * is not applied. But if an earlier attempt had no answer, that attempt may still be applied, and nothing else
     * rules it out: the partition is then acquired again, under a new fencing token on which the condition of that
     * attempt fails.
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

    /** Waits until the replica has reached [revision], for as long as this controller leads [partition]. */
    private suspend fun awaitReplica(revision: Long, partition: Partition, settlement: Settlement): Settlement {
        while (isLed(partition)) {
            if (replica.awaitRevision(revision, REPLICA_WAIT_MS)) return settlement
        }
        return Settlement.LEADERSHIP_LOST
    }

    /** Whether this controller still leads [partition] under the acquisition that the object was created for. */
    private fun isLed(partition: Partition): Boolean = partitions[partition.zone] === partition

    /** The attempts at one change. All of them send the same transaction. */
    private inner class Attempts(private val partition: Partition, private val change: CompareAndSwap) {
        private val leaderCondition = VersionCondition(StoreKeys.partition(partition.zone), partition.fencingToken)
        private val guarded = change.withCondition(leaderCondition)

        /** Whether an attempt had no answer, so that it may still be applied late. */
        private var hasUnanswered = false

        /** Makes one attempt. Returns the outcome, or null if another attempt is needed. */
        suspend fun next(): Settlement? {
            client.rateLimiter.acquireSpare(1, lowPriority = true)
            return when (val outcome = client.transact(guarded)) {
                is TransactionOutcome.Applied -> awaitReplica(outcome.revision, partition, Settlement.APPLIED)

                is TransactionOutcome.Conflict -> {
                    if (leaderCondition.key in outcome.failedKeys) leadership.leadershipLost(partition.zone)
                    awaitReplica(outcome.revision, partition, Settlement.NOT_APPLIED)
                }

                is TransactionOutcome.Refused -> if (outcome.isTooLarge) handleSizeRefusal() else null

                is TransactionOutcome.Unknown -> {
                    hasUnanswered = true
                    null
                }
            }
        }

        private fun handleSizeRefusal(): Settlement? {
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
