package io.otterknot.store

import io.otterknot.wire.VersionCondition
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Writes the values that a partition's leader wants its keys to have, in batches. Only the leader writes these keys.
 * Each transaction is conditional on the leadership key of the partition and on the last seen version of every key that
 * it changes, so a transaction that timed out and is applied late changes nothing.
 *
 * A batch that the store refuses as too large is retried in smaller batches. A single value that is refused as too
 * large is deferred for [DEFERRAL_MS] or until another value is to be written to its key, so that it does not block
 * the other writes.
 */
class BatchWriter(
    private val client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val random: Random,
    private val limits: WriteLimits,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(BatchWriter::class.java)

    /** By key: the write that was last refused as too large. */
    private val deferred = HashMap<String, DeferredWrite>()

    /**
     * Sends the first batch of those [writes] whose values differ from the replica, conditional on [leadership], and
     * calls [onLeadershipLost] if that condition no longer holds. Returns false if there was nothing to send.
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
                log.debug("changes={} failed_keys={} batch not applied: conflict", change.size, outcome.failedKeys)
                if (leadership.key in outcome.failedKeys) {
                    onLeadershipLost()
                } else {
                    replica.awaitRevision(outcome.revision, REPLICA_TIMEOUT_MS)
                }
            }

            is TransactionOutcome.Refused, is TransactionOutcome.Unknown -> {
                log.info("changes={} error={} batch not written", change.size, outcome)
                if (limits.reduceIfTooLarge(change, outcome)) batch.singleOrNull()?.let(::defer)
                delay(RETRY_DELAY_MS + random.nextLong(RETRY_JITTER_MS))
            }
        }
        return true
    }

    /** Returns the [writes] that differ from the replica, in their order, as many as fit into one transaction. */
    private fun nextBatch(writes: List<PendingWrite>): List<PendingWrite> {
        val batch = ArrayList<PendingWrite>()
        val skippedKeys = HashSet<String>()
        var bytes = 0
        val maxChanges =
            minOf(limits.maxTransactionChanges, client.rateLimiter.maxBackgroundChanges, MAX_BATCH_CHANGES)
        for (write in writes) {
            if (replica[write.key]?.value == write.value) continue
            if (isDeferred(write) || isOversized(write) || write.dependsOn.any { it in skippedKeys }) {
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

    /** Whether the value is larger than any that the store accepts. Then it is deferred as if it had been refused. */
    private fun isOversized(write: PendingWrite): Boolean {
        if (write.valueBytes <= limits.configuredValueBytes) return false
        log.warn("key={} bytes={} value not written, larger than the store accepts", write.key, write.valueBytes)
        defer(write)
        return true
    }

    private fun defer(write: PendingWrite) {
        deferred[write.key] = DeferredWrite(write, nowMs() + DEFERRAL_MS)
    }

    private class DeferredWrite(val write: PendingWrite, val untilMs: Long)

    private companion object {
        /** How long a write waits for the replica to reach the revision of its transaction. */
        const val REPLICA_TIMEOUT_MS = 2_000L
        const val RETRY_DELAY_MS = 300L
        const val RETRY_JITTER_MS = 500L
        const val DEFERRAL_MS = 5_000L
        const val MAX_BATCH_CHANGES = 16
        const val MAX_BATCH_BYTES = 40_000

        /** Size of the JSON of a change and its condition without the key and the value. */
        const val CHANGE_OVERHEAD_BYTES = 80
    }
}
