package io.otterknot.store

import io.otterknot.wire.KeyChange
import kotlinx.serialization.json.JsonElement
import okio.utf8Size
import org.slf4j.LoggerFactory

/**
 * The maximum sizes of a value and of a transaction. They start at the values in the settings and are lowered whenever
 * the store refuses a write within them, as the store's limits may change without notice. They are not raised again
 * until the process ends: each attempt could cost a refused transaction, and larger writes gain little.
 */
class WriteLimits(
    maxValueBytes: Int,
    maxTransactionChanges: Int,
    val maxTransactionBytes: Int = DEFAULT_TRANSACTION_BYTES,
) {
    private val log = LoggerFactory.getLogger(WriteLimits::class.java)

    /** The maximum size of a value in the settings; a larger one is never sent. */
    val configuredValueBytes = maxValueBytes

    var maxValueBytes = maxValueBytes
        private set

    var maxTransactionChanges = maxTransactionChanges
        private set

    /** Maximum size of the entries of a record that holds many; the rest of the value is left for its other JSON. */
    val maxRecordBytes: Int get() = minOf((maxValueBytes * RECORD_SHARE).toInt(), MAX_RECORD_BYTES)

    fun fits(change: KeyChange): Boolean = change.valueBytes <= maxValueBytes

    /** Whether each value of [change] fits. */
    fun fits(change: CompareAndSwap): Boolean = change.changes.all(::fits)

    /** Lowers the limits if [outcome] shows that [change] was refused as too large; returns whether that is so. */
    fun reduceIfTooLarge(change: CompareAndSwap, outcome: TransactionOutcome): Boolean {
        if (outcome !is TransactionOutcome.Refused || !outcome.isTooLarge) return false
        reduceAfterRefusal(change.changes)
        return true
    }

    /**
     * Lowers the limits after the store has refused [changes] as too large. With several changes the cause may be their
     * number, so the maximum number is lowered to half of theirs; with a single change it must be the size of its
     * value, so the maximum value size is lowered.
     */
    fun reduceAfterRefusal(changes: List<KeyChange>) {
        if (changes.size > 1) {
            maxTransactionChanges = minOf(maxTransactionChanges, changes.size / 2)
        } else {
            maxValueBytes = minOf(maxValueBytes, reduced(changes.single().valueBytes))
        }
        log.info(
            "max_value_bytes={} max_transaction_changes={} write limits lowered after a refusal as too large",
            maxValueBytes,
            maxTransactionChanges,
        )
    }

    /** Returns the same limits with a lower value size, to retry changes that must stay in one transaction. */
    fun withSmallerValues(): WriteLimits =
        WriteLimits(reduced(maxValueBytes), maxTransactionChanges, maxTransactionBytes)

    private fun reduced(bytes: Int): Int = maxOf(MIN_VALUE_BYTES, bytes * REDUCTION_NUMERATOR / REDUCTION_DENOMINATOR)

    companion object {
        /** The store accepts 64 KiB (PROTOCOL); the rest is for keys and other JSON around the values. */
        private const val DEFAULT_TRANSACTION_BYTES = 56 * 1024

        /** The largest single entry of a record, the completions of 4,096 tasks, needs 700 bytes. */
        const val MIN_VALUE_BYTES = 1_024

        /** The share of a value's size that the entries of a record may take. */
        private const val RECORD_SHARE = 0.8
        private const val MAX_RECORD_BYTES = 4_000

        /** A refusal lowers the size of a value to three quarters of the refused size, in whole bytes. */
        private const val REDUCTION_NUMERATOR = 3
        private const val REDUCTION_DENOMINATOR = 4
    }
}

/** Encoded size of the value that is put; 0 for a removal. */
val KeyChange.valueBytes: Int get() = value?.utf8Bytes ?: 0

/** Encoded size of this value. */
internal val JsonElement.utf8Bytes: Int get() = toString().utf8Size().toInt()
