package io.otterknot.store

import io.otterknot.wire.KeyChange
import io.otterknot.wire.WatchEvents
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.serialization.json.JsonElement
import org.slf4j.LoggerFactory
import java.util.TreeMap

/** The value of a key in the replica, with the version of that value, which is above 0. */
class ReplicaEntry(val value: JsonElement, val version: Long)

/** The entries of a [StoreReplica] and their revision. No key returns to an earlier version. */
internal class ReplicaContents {
    private val log = LoggerFactory.getLogger(ReplicaContents::class.java)
    private val entries = TreeMap<String, ReplicaEntry>()
    private val revisionFlow = MutableStateFlow(NOT_LOADED)

    /** See [StoreReplica.onChange]. */
    var onChange: (key: String, entry: ReplicaEntry?) -> Unit = { _, _ -> }

    /** See [StoreReplica.onBatchApplied]. */
    var onBatchApplied: () -> Unit = {}

    /** The revision up to which [entries] has every change; [NOT_LOADED] before the first load. */
    val revision: StateFlow<Long> get() = revisionFlow
    val isLoaded: Boolean get() = revisionFlow.value != NOT_LOADED

    operator fun get(key: String): ReplicaEntry? = entries[key]

    fun entriesUnder(prefix: String): List<Pair<String, ReplicaEntry>> =
        entries.tailMap(prefix).entries.takeWhile { it.key.startsWith(prefix) }.map { it.key to it.value }

    /** Applies the events of a watch. */
    fun apply(watched: WatchEvents) {
        watched.events.forEach(::apply)
        if (watched.revision > revisionFlow.value) revisionFlow.value = watched.revision
        onBatchApplied()
    }

    /**
     * Replaces all entries by [read], whose entries are as of [revision] or later. Returns false, and changes nothing,
     * if [revision] is earlier than the replica's revision.
     */
    fun replaceAll(read: Map<String, ReplicaEntry>, revision: Long): Boolean {
        if (revision < revisionFlow.value) {
            log.error(
                "revision={} replica reload ignored: earlier revision={} would roll back keys",
                revisionFlow.value,
                revision,
            )
            return false
        }
        val removedKeys = entries.keys.filter { it !in read }
        removedKeys.forEach(::remove)
        for ((key, entry) in read) {
            if (entries[key]?.version != entry.version) put(key, entry)
        }
        revisionFlow.value = revision
        log.info("keys={} revision={} replica loaded", read.size, revision)
        onBatchApplied()
        return true
    }

    private fun apply(event: KeyChange) {
        val version = event.version ?: return
        val current = entries[event.key]
        if (current != null && current.version >= version) return
        val value = event.value
        if (event.put != null && value != null) {
            put(event.key, ReplicaEntry(value, version))
        } else if (current != null) {
            remove(event.key)
        }
    }

    private fun put(key: String, entry: ReplicaEntry) {
        entries[key] = entry
        onChange(key, entry)
    }

    private fun remove(key: String) {
        entries.remove(key)
        onChange(key, null)
    }

    private companion object {
        const val NOT_LOADED = -1L
    }
}
