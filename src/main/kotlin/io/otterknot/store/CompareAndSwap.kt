package io.otterknot.store

import io.otterknot.wire.KeyChange
import io.otterknot.wire.VersionCondition
import kotlinx.serialization.json.JsonElement

/**
 * Changes with the conditions under which the store applies them. It can only be created from a [Snapshot], so the
 * condition is never on a newer version than the value on which the change was based. The store therefore rejects a
 * transaction that arrives late, arrives twice or follows a write by another controller.
 */
class CompareAndSwap private constructor(val conditions: List<VersionCondition>, val changes: List<KeyChange>) {
    /** The number of changes. */
    val size: Int get() = changes.size

    /** Combines both into one transaction: the store applies either all changes or none. */
    operator fun plus(other: CompareAndSwap) = CompareAndSwap(conditions + other.conditions, changes + other.changes)

    /** Also removes [keys], without a condition: they are obsolete once this change is applied. */
    fun alsoRemove(keys: List<String>) = CompareAndSwap(conditions, changes + keys.map { KeyChange(remove = it) })

    /** Also puts [key], without a condition: its value only describes this change. */
    fun alsoPut(key: String, value: JsonElement) =
        CompareAndSwap(conditions, changes + KeyChange(put = key, value = value))

    /** Returns the same changes, with [condition] as an additional condition. */
    fun withCondition(condition: VersionCondition) = CompareAndSwap(conditions + condition, changes)

    companion object {
        /** Puts [value] if the key is unchanged since [before]; the store removes the key when [lease] expires. */
        fun put(before: Snapshot<*>, value: JsonElement, lease: Long? = null) =
            CompareAndSwap(listOf(unchanged(before)), listOf(KeyChange(put = before.key, value = value, lease = lease)))

        /** Removes the key if it is unchanged since [before]. */
        fun remove(before: Snapshot<*>) =
            CompareAndSwap(listOf(unchanged(before)), listOf(KeyChange(remove = before.key)))

        private fun unchanged(snapshot: Snapshot<*>) = VersionCondition(snapshot.key, snapshot.version)
    }
}
