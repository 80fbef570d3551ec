package io.otterknot.store

import io.otterknot.wire.VersionCondition
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Brings the keys that only a partition's leader writes to the values that it wants, in batches. Each key's known
 * version is a condition besides the partition's key: a transaction that was given up and is carried out late can then
 * change nothing.
 *
 * A batch that is refused for its size is tried again in smaller batches; a single value that is refused is deferred
 * for a while, so that it does not hold up the others, or until something smaller is to be written.
 */
class BatchWriter(
    private val client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val random: Random,
    private val limits: WriteLimits,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(BatchWriter::class.java)

    /** By key: the write that was refused for its size last. */
    private val deferred = HashMap<String, DeferredWrite>()

    /**
     * Sends the first batch of [writes] that differ from the replica, on the condition [leadership]; calls
     * [onLeadershipLost] if that does not hold any more. False: there was nothing to send.
     */
    suspend fun write(
        leadership: VersionCondition,
        writes: List<PendingWrite>,
        onLeadershipLost: () -> Unit,
    ): Boolean {
        val batch = nextBatch(writes)
        if (batch.isEmpty()) return false
        val changes = batch.map { it.changeFrom(replica.snapshot(it.key)) }
        val change = changes.reduce(CompareAndSwap::plus).withCondition(leadership)
        client.rateLimiter.acquireSpare(change.size)
        when (val outcome = client.transact(change)) {
            is TransactionOutcome.Applied -> replica.awaitRevision(outcome.revision, REPLICA_TIMEOUT_MS)

            is TransactionOutcome.Conflict -> {
                log.debug("batch refused changes={} failed_keys={}", change.size, outcome.failedKeys)
                if (leadership.key in outcome.failedKeys) {
                    onLeadershipLost()
                } else {
                    replica.awaitRevision(outcome.revision, REPLICA_TIMEOUT_MS)
                }
            }

            is TransactionOutcome.Refused, is TransactionOutcome.Unknown -> {
                log.info("batch not written changes={} error={}", change.size, outcome)
                if (limits.reduceIfTooLarge(change, outcome)) batch.singleOrNull()?.let(::defer)
                delay(RETRY_DELAY_MS + random.nextLong(RETRY_JITTER_MS))
            }
        }
        return true
    }

    /** As many of the [writes] that differ from the replica as fit into one transaction, in their order. */
    private fun nextBatch(writes: List<PendingWrite>): List<PendingWrite> {
        val batch = ArrayList<PendingWrite>()
        val skippedKeys = HashSet<String>()
        var bytes = 0
        val maxChanges =
            minOf(limits.maxTransactionChanges, client.rateLimiter.maxBackgroundChanges, MAX_BATCH_CHANGES)
        for (write in writes) {
            if (replica[write.key]?.value == write.value) continue
            if (isDeferred(write) || write.dependsOn.any { it in skippedKeys }) {
                skippedKeys.add(write.key)
            } else {
                val size = write.key.length * 2 + CHANGE_OVERHEAD_BYTES + write.valueBytes
                val isTooLarge = batch.isNotEmpty() && bytes + size > MAX_BATCH_BYTES
                if (batch.size >= maxChanges || isTooLarge) break
                batch.add(write)
                bytes += size
            }
        }
        return batch
    }

    private fun isDeferred(write: PendingWrite): Boolean {
        val refused = deferred[write.key] ?: return false
        if (refused.write.value == write.value && nowMs() < refused.untilMs) return true
        deferred.remove(write.key)
        return false
    }

    private fun defer(write: PendingWrite) {
        deferred[write.key] = DeferredWrite(write, nowMs() + DEFERRAL_MS)
    }

    private class DeferredWrite(val write: PendingWrite, val untilMs: Long)

    private companion object {
        /** How long the replica may take to show a revision. */
        const val REPLICA_TIMEOUT_MS = 2_000L
        const val RETRY_DELAY_MS = 300L
        const val RETRY_JITTER_MS = 500L
        const val DEFERRAL_MS = 5_000L
        const val MAX_BATCH_CHANGES = 16
        const val MAX_BATCH_BYTES = 40_000

        /** Of a change and its condition, what surrounds the key and the value. */
        const val CHANGE_OVERHEAD_BYTES = 80
    }
}
