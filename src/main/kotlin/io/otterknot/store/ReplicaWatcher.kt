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

/** Keeps [contents] up to date: loads everything once, then follows the watch. */
internal class ReplicaWatcher(
    private val client: KeyValueStoreClient,
    private val contents: ReplicaContents,
    private val random: Random,
    private val pauseMs: Long,
) {
    private val log = LoggerFactory.getLogger(ReplicaWatcher::class.java)

    /** Somebody waits for a revision that the replica has not reached. */
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

                WatchResult.Compacted -> {
                    log.warn("replica watch fell behind; loading everything again revision={}", contents.revision.value)
                    loadOrDelay()
                }

                is WatchResult.Failed -> {
                    log.info("replica watch failed error={}", result.reason)
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

    /** The next changes; null: the watch is to be opened anew. */
    private suspend fun watch(): WatchResult? = coroutineScope {
        while (reopenRequests.tryReceive().isSuccess) Unit
        val answer = async { client.watch(StoreKeys.ROOT, contents.revision.value, WATCH_MS) }
        select<WatchResult?> {
            answer.onAwait { it }
            reopenRequests.onReceive { null }
        }.also { answer.cancel() }
    }

    /**
     * Changes that come close together are fetched together, since each new watch counts as a request. What somebody
     * waits for is fetched at once while requests are ample.
     */
    private suspend fun pauseBetweenWatches() {
        withTimeoutOrNull(pauseMs) {
            do fetchRequests.receive() while (!client.rateLimiter.hasAmpleRequests)
        }
    }

    private suspend fun loadOrDelay(): Boolean {
        if (load()) return true
        delay(LOAD_RETRY_DELAY_MS + random.nextLong(LOAD_RETRY_JITTER_MS))
        return false
    }

    /** Reads all keys, page by page; false: some page did not come, or they are older than what is known. */
    private suspend fun load(): Boolean {
        val read = HashMap<String, ReplicaEntry>()
        var revision: Long? = null
        var after: String? = null
        while (true) {
            val page = client.list(StoreKeys.ROOT, after) ?: return false
            // Later pages may be newer than the first: the watch then repeats what is in them already.
            if (revision == null) revision = page.revision
            for (item in page.items) read[item.key] = ReplicaEntry(item.value, item.version)
            if (!page.more || page.items.isEmpty()) break
            after = page.items.last().key
        }
        return contents.replaceAll(read, revision)
    }

    private companion object {
        /** How long the store may wait for a change before it answers that there is none. */
        const val WATCH_MS = 5_000L
        const val WATCH_RETRY_DELAY_MS = 250L
        const val WATCH_RETRY_JITTER_MS = 500L
        const val LOAD_RETRY_DELAY_MS = 400L
        const val LOAD_RETRY_JITTER_MS = 400L
    }
}
