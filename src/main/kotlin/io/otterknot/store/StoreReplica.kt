package io.otterknot.store

import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonElement
import kotlin.random.Random

/**
 * A replica of all keys that the controllers keep in the store. Every key is as of [revision] or, after the keys were
 * loaded page by page, as of a later revision; no key returns to an earlier version. Only the watch and a full load
 * change the replica, so this controller's own transactions appear in it only when the watch delivers them. Confined
 * to the controller's event loop.
 *
 * [followWatch] and [serveReadBarriers] have to run in the background.
 *
 * @param pauseMs the pause between two watches, and between two reads of the read barrier, that keeps each controller
 * within its share of the store's rate limits.
 */
class StoreReplica(
    private val client: KeyValueStoreClient,
    random: Random,
    private val nowMs: () -> Long,
    pauseMs: Long,
) {
    private val contents = ReplicaContents()
    private val watcher = ReplicaWatcher(client, contents, random, pauseMs)
    private val barrier = ReadBarrier(client, watcher, pauseMs)

    /** Called for every change, in order; the entry is null for a removed key. */
    var onChange: (key: String, entry: ReplicaEntry?) -> Unit
        get() = contents.onChange
        set(value) {
            contents.onChange = value
        }

    /** Called after each batch of changes has been applied. */
    var onBatchApplied: () -> Unit
        get() = contents.onBatchApplied
        set(value) {
            contents.onBatchApplied = value
        }

    /** The revision up to which the replica has every change; negative before the first load. */
    val revision: Long get() = contents.revision.value
    val isLoaded: Boolean get() = contents.isLoaded

    operator fun get(key: String): ReplicaEntry? = contents[key]

    /** Returns the state of [key] in the replica, as the basis of a conditional change. */
    fun snapshot(key: String): Snapshot<JsonElement> =
        contents[key]?.let { Snapshot(key, it.value, it.version) } ?: Snapshot.absent(key)

    /** Returns the entries whose keys begin with [prefix], ordered by key. */
    fun entriesUnder(prefix: String): List<Pair<String, ReplicaEntry>> = contents.entriesUnder(prefix)

    suspend fun awaitLoaded() {
        contents.revision.first { isLoaded }
    }

    /** Waits until the replica has all changes up to [revision]. Returns false on a timeout. */
    suspend fun awaitRevision(revision: Long, timeoutMs: Long): Boolean = watcher.awaitRevision(revision, timeoutMs)

    /**
     * Waits until the replica has everything that was in the store when the call began (a linearizable read). One read
     * of the store serves all waiting callers. Returns false if the read gets no answer or the watch does not catch up
     * in time.
     */
    suspend fun awaitReadBarrier(timeoutMs: Long): Boolean {
        if (!isLoaded) return false
        val completion = barrier.enter()
        val startedMs = nowMs()
        val isCaughtUp = withTimeoutOrNull(timeoutMs) { completion.await() } ?: false
        client.metrics.recordDuration("barrier", nowMs() - startedMs)
        return isCaughtUp
    }

    /** Keeps the replica up to date until cancelled. */
    suspend fun followWatch() = watcher.run()

    /** Serves [awaitReadBarrier] until cancelled. */
    suspend fun serveReadBarriers() = barrier.run()

    /**
     * Closes the watch and opens it again, directly or through a relay, whichever works now. Called when changes that
     * the store is known to have do not arrive.
     */
    fun reopenWatch() = watcher.reopen()
}
