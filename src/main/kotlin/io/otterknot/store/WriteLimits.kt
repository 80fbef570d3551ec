package io.otterknot.store

import io.otterknot.wire.KeyChange
import kotlinx.serialization.json.JsonElement
import okio.utf8Size
import org.slf4j.LoggerFactory

/**
 * How large a value and a transaction may be. It begins with what the settings announce, and is lowered whenever the
 * store refuses something smaller: its limits may change without notice. They stay low until the process ends, since
 * asking for more would cost a refused transaction each time and gain little.
 */
class WriteLimits(
    maxValueBytes: Int,
    maxTransactionChanges: Int,
    val maxTransactionBytes: Int = DEFAULT_TRANSACTION_BYTES,
) {
    private val log = LoggerFactory.getLogger(WriteLimits::class.java)

    var maxValueBytes = maxValueBytes
        private set

    var maxTransactionChanges = maxTransactionChanges
        private set

    /** The size of a record that is built up piece by piece: some room is left for what surrounds the pieces. */
    val maxRecordBytes: Int get() = minOf((maxValueBytes * RECORD_SHARE).toInt(), MAX_RECORD_BYTES)

    fun fits(change: KeyChange): Boolean = change.valueBytes <= maxValueBytes

    /** Whether each of its values fits. */
    fun fits(change: CompareAndSwap): Boolean = change.changes.all(::fits)

    /** Lowers the limits if [outcome] is that [change] was refused for its size; returns whether it is. */
    fun reduceIfTooLarge(change: CompareAndSwap, outcome: TransactionOutcome): Boolean {
        if (outcome !is TransactionOutcome.Refused || !outcome.isTooLarge) return false
        reduceAfterRefusal(change.changes)
        return true
    }

    /**
     * The store has refused [changes] as too large. Several changes are halved in number first, as their number may be
     * what is too large; a single one shows that its size is.
     */
    fun reduceAfterRefusal(changes: List<KeyChange>) {
        if (changes.size > 1) {
            maxTransactionChanges = minOf(maxTransactionChanges, changes.size / 2)
        } else {
            maxValueBytes = minOf(maxValueBytes, reduced(changes.single().valueBytes))
        }
        log.info(
            "write limits lowered after a refusal for size max_value_bytes={} max_transaction_changes={}",
            maxValueBytes,
            maxTransactionChanges,
        )
    }

    /** The same limits with smaller values, to try once more with what belongs together. */
    fun withSmallerValues(): WriteLimits =
        WriteLimits(reduced(maxValueBytes), maxTransactionChanges, maxTransactionBytes)

    private fun reduced(bytes: Int): Int = maxOf(MIN_VALUE_BYTES, bytes * REDUCTION_NUMERATOR / REDUCTION_DENOMINATOR)

    companion object {
        /** The store accepts 64 KiB (PROTOCOL); keys and what surrounds the values take the rest. */
        private const val DEFAULT_TRANSACTION_BYTES = 56 * 1024

        /** The largest piece of a record, completions of 4,096 tasks, needs 700 bytes. */
        const val MIN_VALUE_BYTES = 1_024

        /** The share of a value's size that the pieces of a record may take. */
        private const val RECORD_SHARE = 0.8
        private const val MAX_RECORD_BYTES = 4_000

        /** What a refusal leaves of the size of a value: three quarters, in whole bytes. */
        private const val REDUCTION_NUMERATOR = 3
        private const val REDUCTION_DENOMINATOR = 4
    }
}

/** The encoded size of the value that is put; 0 for a removal. */
val KeyChange.valueBytes: Int get() = value?.utf8Bytes ?: 0

/** The encoded size of this value. */
internal val JsonElement.utf8Bytes: Int get() = toString().utf8Size().toInt()
