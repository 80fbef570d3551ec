package io.otterknot.store

import io.otterknot.wire.KeyChange
import io.otterknot.wire.VersionCondition
import kotlinx.serialization.json.JsonElement

/**
 * What a key held at one moment, with the version of that value; a key that did not exist has no value and version 0.
 * Immutable: what is decided on [value] is guarded by [version], however much later the transaction is sent.
 */
class Snapshot<out T : Any>(val key: String, val value: T?, val version: Long) {
    fun <R : Any> map(decode: (T) -> R): Snapshot<R> = Snapshot(key, value?.let(decode), version)

    companion object {
        /** The state before a key's first value. */
        fun absent(key: String): Snapshot<Nothing> = Snapshot(key, null, 0)
    }
}

/**
 * Changes together with the guards that they rest on. It can only be made from a [Snapshot], so a change is never
 * guarded by a newer version than the value that it was decided on; a transaction that is late, repeated or overtaken
 * by another writer is then refused by the state service.
 */
class CompareAndSwap private constructor(val guards: List<VersionCondition>, val changes: List<KeyChange>) {
    val size: Int get() = changes.size

    operator fun plus(other: CompareAndSwap) = CompareAndSwap(guards + other.guards, changes + other.changes)

    /** Removes [keys] as well, whatever they hold: they say nothing any more once this change is carried out. */
    fun andRemove(keys: List<String>) = CompareAndSwap(guards, changes + keys.map { KeyChange(remove = it) })

    /** Puts [key] as well, whatever it holds: it says something of this change only. */
    fun andPut(key: String, value: JsonElement) = CompareAndSwap(guards, changes + KeyChange(put = key, value = value))

    /** Only carried out while [guard] holds, too. */
    fun onlyWhile(guard: VersionCondition) = CompareAndSwap(guards + guard, changes)

    companion object {
        fun put(before: Snapshot<*>, value: JsonElement, lease: Long? = null) =
            CompareAndSwap(listOf(before.guard()), listOf(KeyChange(put = before.key, value = value, lease = lease)))

        fun remove(before: Snapshot<*>) = CompareAndSwap(listOf(before.guard()), listOf(KeyChange(remove = before.key)))

        private fun Snapshot<*>.guard() = VersionCondition(key, version)
    }
}
