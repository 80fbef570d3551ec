package io.otterknot.store

import io.otterknot.records.StoreKeys
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** Keeps [contents] up to date: loads all keys once, then applies the events of the watch. */
internal class ReplicaWatcher(
    private val client: KeyValueStoreClient,
    private val contents: ReplicaContents,
    private val random: Random,
    private val pauseMs: Long,
) {
    private val log = LoggerFactory.getLogger(ReplicaWatcher::class.java)

    /** Signals that a caller waits for a revision that the replica has not reached. */
    private val fetchRequests = Channel<Unit>(Channel.CONFLATED)
    private val reopenRequests = Channel<Unit>(Channel.CONFLATED)

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            if (!contents.isLoaded && !loadOrDelay()) continue
            when (val result = watch()) {
                null -> Unit

                is WatchResult.Events -> {
                    contents.apply(result.events)
                    pauseBetweenWatches()
                }

                WatchResult.Compacted -> reload("watch revision compacted")

                WatchResult.TooLarge -> reload("watch response too large")

                is WatchResult.Failed -> {
                    log.info("error={} replica watch failed", result.reason)
                    delay(WATCH_RETRY_DELAY_MS + random.nextLong(WATCH_RETRY_JITTER_MS))
                }
            }
        }
    }

    /** See [StoreReplica.reopenWatch]. */
    fun reopen() {
        reopenRequests.trySend(Unit)
    }

    /** See [StoreReplica.awaitRevision]. */
    suspend fun awaitRevision(revision: Long, timeoutMs: Long): Boolean {
        if (contents.revision.value < revision) fetchRequests.trySend(Unit)
        return withTimeoutOrNull(timeoutMs) { contents.revision.first { it >= revision } } != null
    }

    /** Waits for the next changes. Returns null if the watch is to be reopened. */
    private suspend fun watch(): WatchResult? = coroutineScope {
        while (reopenRequests.tryReceive().isSuccess) Unit
        val answer = async { client.watch(StoreKeys.ROOT, contents.revision.value, WATCH_MS) }
        select<WatchResult?> {
            answer.onAwait { it }
            reopenRequests.onReceive { null }
        }.also { answer.cancel() }
    }

    /**
     * Waits before the next watch so that several changes are fetched with one request, as each new watch counts
     * against the rate limit. Ends early if a caller waits for a revision while the rate limiter has ample requests.
     */
    private suspend fun pauseBetweenWatches() {
        withTimeoutOrNull(pauseMs) {
            do fetchRequests.receive() while (!client.rateLimiter.hasAmpleRequests)
        }
    }

    /** Reads all keys again, since the watch cannot go on from the replica's revision because of [cause]. */
    private suspend fun reload(cause: String) {
        log.warn("revision={} {}; reloading all keys", contents.revision.value, cause)
        loadOrDelay()
    }

    private suspend fun loadOrDelay(): Boolean {
        if (load()) return true
        delay(LOAD_RETRY_DELAY_MS + random.nextLong(LOAD_RETRY_JITTER_MS))
        return false
    }

    /**
     * Reads all keys, page by page. Returns false if a page could not be read or the keys are as of an earlier revision
     * than the replica's.
     */
    private suspend fun load(): Boolean {
        val read = HashMap<String, ReplicaEntry>()
        var revision: Long? = null
        var after: String? = null
        while (true) {
            val page = client.list(StoreKeys.ROOT, after) ?: return false
            // Later pages may be newer than the first; the watch then repeats changes that they contain already.
            if (revision == null) revision = page.revision
            for (item in page.items) read[item.key] = ReplicaEntry(item.value, item.version)
            if (!page.more || page.items.isEmpty()) break
            after = page.items.last().key
        }
        return contents.replaceAll(read, revision)
    }

    private companion object {
        /** How long the store may wait for a change before it answers without one. */
        const val WATCH_MS = 5_000L
        const val WATCH_RETRY_DELAY_MS = 250L
        const val WATCH_RETRY_JITTER_MS = 500L
        const val LOAD_RETRY_DELAY_MS = 400L
        const val LOAD_RETRY_JITTER_MS = 400L
    }
}
