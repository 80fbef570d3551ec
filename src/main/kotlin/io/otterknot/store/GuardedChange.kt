package io.otterknot.store

import io.otterknot.wire.Change
import io.otterknot.wire.Guard
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
class GuardedChange private constructor(val guards: List<Guard>, val changes: List<Change>) {
    val size: Int get() = changes.size

    operator fun plus(other: GuardedChange) = GuardedChange(guards + other.guards, changes + other.changes)

    /** Removes [keys] as well, whatever they hold: they say nothing any more once this change is carried out. */
    fun andRemove(keys: List<String>) = GuardedChange(guards, changes + keys.map { Change(remove = it) })

    /** Puts [key] as well, whatever it holds: it says something of this change only. */
    fun andPut(key: String, value: JsonElement) = GuardedChange(guards, changes + Change(put = key, value = value))

    /** Only carried out while [guard] holds, too. */
    fun onlyWhile(guard: Guard) = GuardedChange(guards + guard, changes)

    companion object {
        fun put(before: Snapshot<*>, value: JsonElement, lease: Long? = null) =
            GuardedChange(listOf(before.guard()), listOf(Change(put = before.key, value = value, lease = lease)))

        fun remove(before: Snapshot<*>) = GuardedChange(listOf(before.guard()), listOf(Change(remove = before.key)))

        private fun Snapshot<*>.guard() = Guard(key, version)
    }
}
