package io.otterknot.store

/**
 * The value of a key at one moment, with its version; a key that did not exist has no value and version 0. It is
 * immutable: a change based on [value] is conditional on [version], even if the transaction is sent much later.
 */
class Snapshot<out T : Any>(val key: String, val value: T?, val version: Long) {
    fun <R : Any> map(decode: (T) -> R): Snapshot<R> = Snapshot(key, value?.let(decode), version)

    companion object {
        /** Returns the snapshot of a key that does not exist. */
        fun absent(key: String): Snapshot<Nothing> = Snapshot(key, null, 0)
    }
}
