package io.otterknot.store

import io.otterknot.wire.KeyChange
import kotlinx.serialization.json.JsonElement
import okio.utf8Size
import org.slf4j.LoggerFactory

/**
 * How large a value and a transaction may be. It begins with what the settings announce, and is lowered whenever the
 * state service refuses something smaller: limits may change without notice. They stay low until the process ends,
 * since asking for more would cost a refused transaction each time and gain little.
 */
class WriteLimits(valueBytes: Int, txnOps: Int, val txnBytes: Int = TXN_BYTES) {
    private val log = LoggerFactory.getLogger(WriteLimits::class.java)

    /** The most bytes of one value. */
    var valueBytes = valueBytes
        private set

    /** The most changes of one transaction. */
    var txnOps = txnOps
        private set

    /** What a record that is built up piece by piece may take: some room is left for what surrounds the pieces. */
    val recordBytes: Int get() = minOf((valueBytes * RECORD_SHARE).toInt(), MAX_RECORD_BYTES)

    fun fits(change: KeyChange): Boolean = change.valueBytes <= valueBytes

    /** Whether each of its values fits. */
    fun fits(change: CompareAndSwap): Boolean = change.changes.all(::fits)

    /**
     * The state service has refused [changes] as too large. Several changes are halved in number first, as their number
     * may be what is too large; the size of a single one speaks for itself.
     */
    fun refused(changes: List<KeyChange>) {
        if (changes.size > 1) {
            txnOps = minOf(txnOps, changes.size / 2)
        } else {
            valueBytes = minOf(valueBytes, smaller(changes.single().valueBytes))
        }
        log.info("refused for its size: from now on {} bytes a value, {} changes a transaction", valueBytes, txnOps)
    }

    /** The same limits with smaller values, to try once more with what belongs together. */
    fun withSmallerValues(): WriteLimits = WriteLimits(smaller(valueBytes), txnOps, txnBytes)

    private fun smaller(bytes: Int): Int = maxOf(MIN_VALUE_BYTES, bytes * 3 / 4)

    companion object {
        /** The state service takes 64 KiB; names and what is put around the values take the rest. */
        private const val TXN_BYTES = 56 * 1024

        /** The largest piece of a record, completions of 4,096 tasks, needs 700 bytes. */
        const val MIN_VALUE_BYTES = 1_024
        private const val RECORD_SHARE = 0.8
        private const val MAX_RECORD_BYTES = 4_000
    }
}

/** The bytes of the value that is put; 0 for a removal. */
val KeyChange.valueBytes: Int get() = value?.utf8Bytes ?: 0

/** The bytes that it takes as a value. */
internal val JsonElement.utf8Bytes: Int get() = toString().utf8Size().toInt()
