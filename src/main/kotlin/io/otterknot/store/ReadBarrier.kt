package io.otterknot.store

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay

/**
 * Reads the store's revision on behalf of all that wait, and lets them go once the replica has reached it. Who enters
 * while a read is on its way waits for the next one, as that read may have been carried out before.
 */
internal class ReadBarrier(
    private val client: KeyValueStoreClient,
    private val watcher: ReplicaWatcher,
    private val pauseMs: Long,
) {
    private var waiting = ArrayList<CompletableDeferred<Boolean>>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)

    /** Completed with whether the replica has caught up. */
    fun enter(): CompletableDeferred<Boolean> {
        val passage = CompletableDeferred<Boolean>()
        waiting.add(passage)
        wakeUp.trySend(Unit)
        return passage
    }

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            wakeUp.receive()
            val served = waiting
            waiting = ArrayList()
            val revision = client.revision()
            val isCaughtUp = revision != null && watcher.awaitRevision(revision, CATCH_UP_TIMEOUT_MS)
            if (revision != null && !isCaughtUp) watcher.reopen()
            served.forEach { it.complete(isCaughtUp) }
            // Reads that come close together are served together, unless requests are ample.
            delay(if (client.rateLimiter.hasAmpleRequests) pauseMs / AMPLE_PAUSE_DIVISOR else pauseMs)
        }
    }

    private companion object {
        const val CATCH_UP_TIMEOUT_MS = 1_200L

        /** How many times shorter the pause between two reads is while requests are ample. */
        const val AMPLE_PAUSE_DIVISOR = 8
    }
}
