package io.otterknot.store

import io.otterknot.records.MachineSegmentRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.wire.KeyChange
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonElement
import org.slf4j.LoggerFactory
import java.util.TreeMap
import kotlin.random.Random

class ReplicaEntry(val value: JsonElement, val version: Long)

/**
 * A copy of everything this service keeps in the state service: every key is as it was at [revision] or, after all has
 * been read page by page, later; no key ever goes back. Only the watch and such a reading change it, so own transactions
 * show here when the watch brings them, never before.
 */
class StoreReplica(
    private val client: KeyValueStoreClient,
    private val random: Random,
    private val nowMs: () -> Long,
    private val pauseMs: Long,
) {
    private val log = LoggerFactory.getLogger(StoreReplica::class.java)
    private val entries = TreeMap<String, ReplicaEntry>()
    private val reached = MutableStateFlow(-1L)
    private val barrier = Barrier()

    /** Told of every change, in order; the value is null for a removed key. */
    var onChange: (key: String, entry: ReplicaEntry?) -> Unit = { _, _ -> }

    /** Told once a batch of changes has been applied. */
    var onBatch: () -> Unit = {}

    /** Every change up to this revision is in the copy. */
    val revision: Long get() = reached.value
    val loaded: Boolean get() = reached.value >= 0

    suspend fun awaitLoaded() {
        reached.first { it >= 0 }
    }

    operator fun get(key: String): ReplicaEntry? = entries[key]

    /** What [key] holds now, to decide a change of it on. */
    fun snapshot(key: String): Snapshot<JsonElement> =
        entries[key]?.let { Snapshot(key, it.value, it.version) } ?: Snapshot.absent(key)

    fun under(prefix: String): List<Pair<String, ReplicaEntry>> =
        entries.tailMap(prefix).entries.takeWhile { it.key.startsWith(prefix) }.map { it.key to it.value }

    /** The machines that may hold tasks of a zone, with their types, by segment. */
    fun machineSegments(zone: String): Map<Int, Map<String, String>> =
        under(StoreKeys.machines(zone)).associate { (key, entry) ->
            key.substringAfterLast('/').toInt() to decodeRecord(MachineSegmentRecord.serializer(), entry.value).types
        }

    /** Keeps the copy up to date until cancelled. */
    suspend fun followWatch() {
        while (true) {
            if (!loaded) {
                if (!load()) {
                    delay(400 + random.nextLong(400))
                    continue
                }
            }
            when (val outcome = watch()) {
                null -> Unit

                is WatchResult.Events -> {
                    apply(outcome.events.events)
                    if (outcome.events.revision > reached.value) reached.value = outcome.events.revision
                    onBatch()
                    pauseBetweenWatches()
                }

                WatchResult.TooOld -> {
                    log.warn("the watch fell behind; reading everything again")
                    if (!load()) delay(400 + random.nextLong(400))
                }

                is WatchResult.Failed -> {
                    log.info("watch failed: {}", outcome.why)
                    delay(250 + random.nextLong(500))
                }
            }
        }
    }

    /**
     * Changes that come close together are fetched together, since each new watch counts as a request. What somebody
     * waits for is fetched at once while requests are ample.
     */
    private suspend fun pauseBetweenWatches() {
        withTimeoutOrNull(pauseMs) {
            do awaited.receive() while (!client.budget.requestsAmple)
        }
    }

    /** Somebody waits for a revision that this copy has not reached. */
    private val awaited = Channel<Unit>(Channel.CONFLATED)

    /**
     * Changes that the store is known to hold do not come: the watch is given up and opened anew, on whatever way is
     * good now.
     */
    fun reopenWatch() {
        stuck.trySend(Unit)
    }

    private val stuck = Channel<Unit>(Channel.CONFLATED)

    /** The next changes; null: the watch was given up. */
    private suspend fun watch(): WatchResult? = coroutineScope {
        while (stuck.tryReceive().isSuccess) Unit
        val answer = async { client.watch(StoreKeys.ROOT, reached.value, WATCH_MS) }
        select<WatchResult?> {
            answer.onAwait { it }
            stuck.onReceive { null }
        }.also { answer.cancel() }
    }

    private suspend fun load(): Boolean {
        val seen = HashMap<String, ReplicaEntry>()
        var start = -1L
        var after: String? = null
        while (true) {
            val page = client.list(StoreKeys.ROOT, after) ?: return false
            // Later pages may be newer than the first: the watch then repeats what they already hold.
            if (start < 0) start = page.revision
            for (item in page.items) seen[item.key] = ReplicaEntry(item.value, item.version)
            if (!page.more || page.items.isEmpty()) break
            after = page.items.last().key
        }
        if (start < reached.value) {
            log.error("read revision {} after revision {}: ignored, since nothing may go back", start, reached.value)
            return false
        }
        val gone = entries.keys.filter { it !in seen }
        for (key in gone) {
            entries.remove(key)
            onChange(key, null)
        }
        for ((key, entry) in seen) {
            if (entries[key]?.version == entry.version) continue
            entries[key] = entry
            onChange(key, entry)
        }
        reached.value = start
        log.info("read {} keys at revision {}", seen.size, start)
        onBatch()
        return true
    }

    private fun apply(events: List<KeyChange>) {
        for (event in events) {
            val version = event.version ?: continue
            val known = entries[event.key]
            if (known != null && known.version >= version) continue
            val value = event.value
            if (event.put != null && value != null) {
                val entry = ReplicaEntry(value, version)
                entries[event.key] = entry
                onChange(event.key, entry)
            } else if (known != null) {
                entries.remove(event.key)
                onChange(event.key, null)
            }
        }
    }

    /** Waits until this copy holds all changes up to [revision]; false if it does not in time. */
    suspend fun awaitRevision(revision: Long, timeoutMs: Long): Boolean {
        if (reached.value < revision) awaited.trySend(Unit)
        return withTimeoutOrNull(timeoutMs) { reached.first { it >= revision } } != null
    }

    /**
     * Waits until this copy holds everything that was in the store when the call began. One read serves all that
     * wait; false if the state service does not answer or the watch does not catch up in time.
     */
    suspend fun awaitReadBarrier(timeoutMs: Long): Boolean {
        if (!loaded) return false
        val place = barrier.enter()
        val began = nowMs()
        val caughtUp = withTimeoutOrNull(timeoutMs) { place.await() } ?: false
        client.figures.recordDuration("barrier", nowMs() - began)
        return caughtUp
    }

    /** Serves the barrier until cancelled. */
    suspend fun serveBarrier() = barrier.serve()

    private inner class Barrier {
        private var waiting = ArrayList<CompletableDeferred<Boolean>>()
        private val wake = Channel<Unit>(Channel.CONFLATED)

        fun enter(): CompletableDeferred<Boolean> {
            val place = CompletableDeferred<Boolean>()
            waiting.add(place)
            wake.trySend(Unit)
            return place
        }

        suspend fun serve() {
            while (true) {
                wake.receive()
                val served = waiting
                waiting = ArrayList()
                val target = client.revision()
                val caughtUp = target != null && awaitRevision(target, BARRIER_MS)
                if (target != null && !caughtUp) reopenWatch()
                served.forEach { it.complete(caughtUp) }
                // Reads that come close together are served together, unless requests are ample.
                delay(if (client.budget.requestsAmple) pauseMs / AMPLE_PAUSE_SHARE else pauseMs)
            }
        }
    }

    private companion object {
        const val WATCH_MS = 5_000L
        const val BARRIER_MS = 1_200L

        /** How many times shorter the pause between barriers is while requests are ample. */
        const val AMPLE_PAUSE_SHARE = 8
    }
}
