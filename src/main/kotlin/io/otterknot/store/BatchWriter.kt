package io.otterknot.store

import io.otterknot.wire.VersionCondition
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonElement
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * What a partition's owner wants one of its keys to hold; null: the key shall be absent. [after]: keys whose pending
 * writes must come first, or in the same transaction, as this one gives up what they take.
 */
class PendingWrite(val key: String, val value: JsonElement?, val after: Set<String> = emptySet()) {
    /** The change to it from [before]. */
    fun from(before: Snapshot<*>): CompareAndSwap =
        if (value == null) CompareAndSwap.remove(before) else CompareAndSwap.put(before, value)

    val valueBytes: Int get() = value?.utf8Bytes ?: 0
}

/**
 * Brings the keys that only a partition's owner writes to what it wants, in batches. Each key's known version is
 * guarded besides the partition's key: a transaction that was given up and is carried out late can then change nothing.
 *
 * A batch that is refused for its size is tried again in smaller batches; a single value that is refused is set aside
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

    private class SetAside(val write: PendingWrite, val untilMs: Long)

    /** By key, what was refused for its size last. */
    private val setAside = HashMap<String, SetAside>()

    /** Sends what differs from the replica; false: nothing to send. */
    suspend fun write(owner: VersionCondition, writes: List<PendingWrite>, onGuardLost: () -> Unit): Boolean {
        val batch = nextBatch(writes)
        if (batch.isEmpty()) return false
        val change = batch.map { it.from(replica.snapshot(it.key)) }.reduce(CompareAndSwap::plus).onlyWhile(owner)
        client.budget.acquireSpare(change.size)
        when (val outcome = client.txn(change)) {
            is TransactionOutcome.Applied -> replica.awaitRevision(outcome.revision, REACH_MS)

            is TransactionOutcome.Conflict -> {
                log.debug("batch of {} refused by {}", change.size, outcome.failed)
                if (owner.key in outcome.failed) onGuardLost() else replica.awaitRevision(outcome.revision, REACH_MS)
            }

            is TransactionOutcome.Refused, is TransactionOutcome.Unknown -> {
                log.info("batch of {} not written: {}", change.size, outcome)
                if (outcome is TransactionOutcome.Refused && outcome.tooLarge) refusedForSize(batch, change)
                delay(PAUSE_MS + random.nextLong(PAUSE_JITTER_MS))
            }
        }
        return true
    }

    /** As much as one transaction may hold of what differs from the replica, in the given order. */
    private fun nextBatch(writes: List<PendingWrite>): List<PendingWrite> {
        val batch = ArrayList<PendingWrite>()
        val passedOver = HashSet<String>()
        var bytes = 0
        val mostChanges = minOf(limits.txnOps, client.budget.most, MAX_CHANGES)
        for (write in writes) {
            if (replica[write.key]?.value == write.value) continue
            if (isSetAside(write) || write.after.any { it in passedOver }) {
                passedOver.add(write.key)
                continue
            }
            val size = write.key.length * 2 + CHANGE_OVERHEAD_BYTES + write.valueBytes
            if (batch.size >= mostChanges || (batch.isNotEmpty() && bytes + size > MAX_BYTES)) break
            batch.add(write)
            bytes += size
        }
        return batch
    }

    private fun isSetAside(write: PendingWrite): Boolean {
        val refused = setAside[write.key] ?: return false
        if (refused.write.value == write.value && nowMs() < refused.untilMs) return true
        setAside.remove(write.key)
        return false
    }

    private fun refusedForSize(batch: List<PendingWrite>, change: CompareAndSwap) {
        limits.refused(change.changes)
        val single = batch.singleOrNull() ?: return
        setAside[single.key] = SetAside(single, nowMs() + SET_ASIDE_MS)
    }

    private companion object {
        const val REACH_MS = 2_000L
        const val PAUSE_MS = 300L
        const val PAUSE_JITTER_MS = 500L
        const val SET_ASIDE_MS = 5_000L
        const val MAX_CHANGES = 16
        const val MAX_BYTES = 40_000

        /** Of a change and its guard, what surrounds the key and the value. */
        const val CHANGE_OVERHEAD_BYTES = 80
    }
}
