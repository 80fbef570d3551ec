package io.otterknot.ratelimit

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.slf4j.LoggerFactory

/**
 * This node's share of a service's limits, as two buckets of one second's worth. The [share] of each may change as
 * partitions come and go; the shares of all nodes never pass the whole.
 *
 * Requests that a user waits for go first: they take their place at once and wait for their turn, for no longer than
 * they say. Background tasks wait until there is something for them and leave no debt behind, so that users never queue
 * behind a long batch; and what only reads never waits for changes.
 */
class RateLimiter(
    requestsPerS: Double,
    changesPerS: Double,
    private val nowMs: () -> Long,
    private val share: () -> Share = { Share.WHOLE },
    /** What the limits will be lowered to some day, without notice: the first refusals tell that they have been. */
    private val later: Limits? = null,
) {
    class Limits(val requestsPerS: Double, val changesPerS: Double)

    class Share(val requests: Double, val changes: Double) {
        companion object {
            val WHOLE = Share(1.0, 1.0)
        }
    }

    private class Bucket(var wholePerS: Double, var filledAt: Long) {
        var perS = wholePerS
        var level = Double.MAX_VALUE
        val size: Double get() = maxOf(perS * BURST, 1.0)

        fun fill(now: Long, share: Double) {
            perS = wholePerS * share
            level = minOf(size, level + (now - filledAt) * perS / 1000.0)
            filledAt = now
        }

        fun waitMs(wanted: Double = 0.0): Long {
            if (level >= wanted) return 0
            return ((wanted - level) * 1000.0 / perS).toLong() + 1
        }
    }

    private val requests = Bucket(requestsPerS, nowMs())
    private val changes = Bucket(changesPerS, nowMs())
    private val backgroundTasks = Mutex()
    private val lowPriorityTasks = Mutex()

    private fun fill() {
        val now = nowMs()
        val share = share()
        val throttle = throttle.at(now)
        requests.fill(now, share.requests * throttle)
        changes.fill(now, share.changes * throttle)
    }

    private val throttle = Throttle()
    private var refusedMs = Long.MIN_VALUE / 2
    private var lowered = false
    private var loweredMs = Long.MIN_VALUE / 2

    /**
     * The service has refused a request for its rate. Once may be another node's doing; when it happens again soon, the
     * lower limits hold for good, and if they are not it, the node uses less of them for a while.
     */
    fun refused() {
        val now = nowMs()
        val again = now - refusedMs < REFUSALS_MS
        refusedMs = now
        if (!again) return
        if (later == null || lowered) {
            // Other nodes may not have noticed the lower limits yet.
            if (now - loweredMs >= REFUSALS_MS) throttle.refused(now)
            return
        }
        lowered = true
        loweredMs = now
        requests.wholePerS = later.requestsPerS
        changes.wholePerS = later.changesPerS
        log.info(
            "requests are refused for their rate: from now on {} requests and {} changes a second",
            later.requestsPerS,
            later.changesPerS,
        )
    }

    /** The share of the known limits that is used: less with each refusal that they do not explain, more with time. */
    private class Throttle {
        private var share = 1.0
        private var changedMs = Long.MIN_VALUE / 2

        fun refused(now: Long) {
            if (now - changedMs < DECREASE_EVERY_MS) return
            share = maxOf(LEAST, at(now) * DECREASE)
            changedMs = now
        }

        fun at(now: Long): Double = minOf(1.0, share + maxOf(0L, now - changedMs - RECOVER_AFTER_MS) * RECOVER_PER_MS)

        private companion object {
            const val LEAST = 0.2
            const val DECREASE = 0.8
            const val DECREASE_EVERY_MS = 2_000L
            const val RECOVER_AFTER_MS = 10_000L

            /** A tenth in ten seconds. */
            const val RECOVER_PER_MS = 1e-5
        }
    }

    private fun use(changeCount: Int, requestCount: Int = 1) {
        requests.level -= requestCount
        changes.level -= changeCount
    }

    private fun waitMs(changeCount: Int): Long = maxOf(requests.waitMs(), if (changeCount > 0) changes.waitMs() else 0)

    /** For what somebody waits for and what is bounded in number. */
    suspend fun acquire(changeCount: Int = 0) {
        fill()
        use(changeCount)
        val wait = waitMs(changeCount)
        if (wait > 0) delay(wait)
    }

    /** Takes a place only if the wait is at most [maxWaitMs]; false: nothing was taken. */
    suspend fun tryAcquire(changeCount: Int, maxWaitMs: Long): Boolean {
        fill()
        use(changeCount)
        val wait = waitMs(changeCount)
        if (wait > maxWaitMs) {
            use(-changeCount, requestCount = -1)
            return false
        }
        if (wait > 0) delay(wait)
        return true
    }

    /**
     * For background tasks: waits until so many changes are there and some are left for users, more of them for [lesser] tasks.
     */
    suspend fun acquireSpare(changeCount: Int, lesser: Boolean = false) =
        (if (lesser) lowPriorityTasks else backgroundTasks).withLock {
            while (true) {
                fill()
                val reserve = changes.size * (if (lesser) LESSER_RESERVE else RESERVE)
                val wait = maxOf(requests.waitMs(1.0), changes.waitMs(minOf(changeCount + reserve, changes.size)))
                if (wait == 0L) break
                delay(wait)
            }
            use(changeCount)
        }

    /** Half of a burst is left: there is no need to save requests. */
    val requestsAmple: Boolean get() {
        fill()
        return requests.level >= requests.size / 2
    }

    /** How many changes a background task may make at once without waiting for more than a second's worth. */
    val most: Int get() {
        fill()
        return maxOf(1, changes.size.toInt())
    }

    /** Lease renewals never wait: losing a lease costs more than a refused request. */
    fun acquireWithoutWaiting() {
        fill()
        requests.level -= 1
    }

    private companion object {
        val log: org.slf4j.Logger = LoggerFactory.getLogger(RateLimiter::class.java)
        const val REFUSALS_MS = 10_000L
        const val BURST = 0.9

        /** The share of the changes that background tasks leave to users, and the less urgent ones to the others too. */
        const val RESERVE = 0.25
        const val LESSER_RESERVE = 0.4
    }
}
