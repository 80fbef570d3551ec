package io.otterknot.store

import io.otterknot.wire.KeyChange
import io.otterknot.wire.VersionCondition
import kotlinx.serialization.json.JsonElement

/**
 * Changes together with the conditions that they rest on. It can only be made from a [Snapshot], so the condition is
 * never on a newer version than the value that the change was decided on; a transaction that is late, repeated or
 * overtaken by another writer is then refused by the store.
 */
class CompareAndSwap private constructor(val conditions: List<VersionCondition>, val changes: List<KeyChange>) {
    /** The number of changes. */
    val size: Int get() = changes.size

    /** Both in one transaction: either everything is carried out or nothing. */
    operator fun plus(other: CompareAndSwap) = CompareAndSwap(conditions + other.conditions, changes + other.changes)

    /** Removes [keys] as well, whatever their values: they mean nothing once this change is carried out. */
    fun alsoRemove(keys: List<String>) = CompareAndSwap(conditions, changes + keys.map { KeyChange(remove = it) })

    /** Puts [key] as well, whatever its value: it describes this change only. */
    fun alsoPut(key: String, value: JsonElement) =
        CompareAndSwap(conditions, changes + KeyChange(put = key, value = value))

    /** The same changes, carried out only while [condition] holds, too. */
    fun withCondition(condition: VersionCondition) = CompareAndSwap(conditions + condition, changes)

    companion object {
        /** Puts [value] if the key is still as [before]; the store removes it when [lease] expires. */
        fun put(before: Snapshot<*>, value: JsonElement, lease: Long? = null) =
            CompareAndSwap(listOf(unchanged(before)), listOf(KeyChange(put = before.key, value = value, lease = lease)))

        /** Removes the key if it is still as [before]. */
        fun remove(before: Snapshot<*>) =
            CompareAndSwap(listOf(unchanged(before)), listOf(KeyChange(remove = before.key)))

        private fun unchanged(snapshot: Snapshot<*>) = VersionCondition(snapshot.key, snapshot.version)
    }
}
