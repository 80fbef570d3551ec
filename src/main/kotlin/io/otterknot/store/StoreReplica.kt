package io.otterknot.store

import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonElement
import kotlin.random.Random

/**
 * A copy of everything that the controllers keep in the store: every key is as it was at [revision] or, after all has
 * been read page by page, later; no key ever goes back. Only the watch and such a reading change it, so own
 * transactions show here when the watch brings them, never before. Confined to the controller's event loop.
 *
 * [followWatch] and [serveReadBarriers] have to run in the background. [pauseMs]: the pause between two watches, and
 * between two reads of the barrier, by which each controller stays within its share of the store's rate limits.
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

    /** Called once a batch of changes has been applied. */
    var onBatchApplied: () -> Unit
        get() = contents.onBatchApplied
        set(value) {
            contents.onBatchApplied = value
        }

    /** Every change up to this revision is in the copy; negative before the first load. */
    val revision: Long get() = contents.revision.value
    val isLoaded: Boolean get() = contents.isLoaded

    operator fun get(key: String): ReplicaEntry? = contents[key]

    /** The present state of [key], to decide a change of it on. */
    fun snapshot(key: String): Snapshot<JsonElement> =
        contents[key]?.let { Snapshot(key, it.value, it.version) } ?: Snapshot.absent(key)

    /** The entries whose keys begin with [prefix], in the order of the keys. */
    fun entriesUnder(prefix: String): List<Pair<String, ReplicaEntry>> = contents.entriesUnder(prefix)

    suspend fun awaitLoaded() {
        contents.revision.first { isLoaded }
    }

    /** Waits until this copy has all changes up to [revision]; false if it does not in time. */
    suspend fun awaitRevision(revision: Long, timeoutMs: Long): Boolean = watcher.awaitRevision(revision, timeoutMs)

    /**
     * Waits until this copy has everything that was in the store when the call began (a linearizable read). One read
     * of the store serves all that wait; false if it gets no answer or the watch does not catch up in time.
     */
    suspend fun awaitReadBarrier(timeoutMs: Long): Boolean {
        if (!isLoaded) return false
        val passage = barrier.enter()
        val enteredMs = nowMs()
        val isCaughtUp = withTimeoutOrNull(timeoutMs) { passage.await() } ?: false
        client.metrics.recordDuration("barrier", nowMs() - enteredMs)
        return isCaughtUp
    }

    /** Keeps the copy up to date until cancelled. */
    suspend fun followWatch() = watcher.run()

    /** Serves [awaitReadBarrier] until cancelled. */
    suspend fun serveReadBarriers() = barrier.run()

    /**
     * Changes that the store is known to have do not arrive: the watch is given up and opened anew, directly or through
     * a relay, whichever works now.
     */
    fun reopenWatch() = watcher.reopen()
}
