package io.otterknot.store

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay

/**
 * Reads the store's revision on behalf of all waiting callers and completes them when the replica has reached it. A
 * caller that enters while a read is in flight waits for the next read, because the store may have served the current
 * one before that caller entered.
 */
internal class ReadBarrier(
    private val client: KeyValueStoreClient,
    private val watcher: ReplicaWatcher,
    private val pauseMs: Long,
) {
    private var waiters = ArrayList<CompletableDeferred<Boolean>>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)

    /** Registers a caller. The result is completed with whether the replica has caught up. */
    fun enter(): CompletableDeferred<Boolean> {
        val completion = CompletableDeferred<Boolean>()
        waiters.add(completion)
        wakeUp.trySend(Unit)
        return completion
    }

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            wakeUp.receive()
            val served = waiters
            waiters = ArrayList()
            val revision = client.revision()
            val isCaughtUp = revision != null && watcher.awaitRevision(revision, CATCH_UP_TIMEOUT_MS)
            if (revision != null && !isCaughtUp) watcher.reopen()
            served.forEach { it.complete(isCaughtUp) }
            // The pause lets one read serve callers that enter close together; it is shorter while requests are ample.
            delay(if (client.rateLimiter.hasAmpleRequests) pauseMs / AMPLE_PAUSE_DIVISOR else pauseMs)
        }
    }

    private companion object {
        const val CATCH_UP_TIMEOUT_MS = 1_200L

        /** Divisor of the pause between two reads while the rate limiter has ample requests. */
        const val AMPLE_PAUSE_DIVISOR = 8
    }
}
