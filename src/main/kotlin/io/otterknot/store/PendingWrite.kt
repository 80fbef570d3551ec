package io.otterknot.store

import kotlinx.serialization.json.JsonElement

/**
 * The value that a partition's leader wants one of its keys to have; null: the key shall be absent. [dependsOn]: keys
 * whose pending writes must come first, or in the same transaction, since they take over what this one gives up.
 */
class PendingWrite(val key: String, val value: JsonElement?, val dependsOn: Set<String> = emptySet()) {
    internal val valueBytes: Int get() = value?.utf8Bytes ?: 0

    /** The change that leads from [before] to it. */
    internal fun changeFrom(before: Snapshot<*>): CompareAndSwap =
        if (value == null) CompareAndSwap.remove(before) else CompareAndSwap.put(before, value)
}
