package io.otterknot.store

import kotlinx.serialization.json.JsonElement

/**
 * The value that a partition's leader wants one of its keys to have, or null if the key shall be removed.
 *
 * @property dependsOn keys whose pending writes must be applied before this one or in the same transaction, because
 * they receive data that this write removes from its own key.
 */
class PendingWrite(val key: String, val value: JsonElement?, val dependsOn: Set<String> = emptySet()) {
    internal val valueBytes: Int get() = value?.utf8Bytes ?: 0

    /** Returns the change from [before] to this value. */
    internal fun changeFrom(before: Snapshot<*>): CompareAndSwap =
        if (value == null) CompareAndSwap.remove(before) else CompareAndSwap.put(before, value)
}
