package io.otterknot.ratelimit

import io.otterknot.time.NEVER_MS
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * This controller's share of a service's limits: one token bucket for requests, one for changes. The [share] of each
 * may change as partitions come and go; the shares of all controllers together never exceed the limits.
 *
 * - [acquire] and [tryAcquire] are for requests that a user or a watch waits for: they take their tokens at once, going
 *   into debt, and wait for their turn. [tryAcquire] is for submissions and cancellations, which are refused instead
 *   of waiting long.
 * - [acquireSpare] is for background tasks: it waits until the tokens are there and leaves no debt, so that users never
 *   queue behind a long batch.
 * - [acquireWithoutWaiting] is for lease renewals and what they depend on.
 *
 * Reading never waits for the bucket of changes. Confined to the controller's event loop.
 */
class RateLimiter(
    requestsPerS: Double,
    changesPerS: Double,
    private val nowMs: () -> Long,
    private val share: () -> RateLimitShare = { RateLimitShare.WHOLE },
    /** What the limits will be lowered to some day, without notice: repeated refusals tell that they have been. */
    private val loweredLimits: RateLimits? = null,
) {
    private val requests = TokenBucket(requestsPerS, nowMs())
    private val changes = TokenBucket(changesPerS, nowMs())
    private val backoff = RefusalBackoff()
    private val backgroundTasks = Mutex()
    private val lowPriorityTasks = Mutex()
    private var lastRefusalMs = NEVER_MS
    private var isLowered = false
    private var loweredMs = NEVER_MS

    /** Half of a burst of requests is left: there is no need to save any. */
    val hasAmpleRequests: Boolean
        get() {
            refill()
            return requests.isHalfFull
        }

    /** How many changes a background task may make in one transaction without waiting for more than a burst. */
    val maxBackgroundChanges: Int
        get() {
            refill()
            return maxOf(1, changes.capacity.toInt())
        }

    /** Takes the tokens of a request with [changeCount] changes and waits for its turn, however long that takes. */
    suspend fun acquire(changeCount: Int = 0) {
        refill()
        take(changeCount)
        val waitMs = waitMs(changeCount)
        if (waitMs > 0) delay(waitMs)
    }

    /** Like [acquire] if the wait is at most [maxWaitMs]; otherwise takes nothing and returns false at once. */
    suspend fun tryAcquire(changeCount: Int, maxWaitMs: Long): Boolean {
        refill()
        take(changeCount)
        val waitMs = waitMs(changeCount)
        if (waitMs > maxWaitMs) {
            take(-changeCount, requestCount = -1)
            return false
        }
        if (waitMs > 0) delay(waitMs)
        return true
    }

    /**
     * Waits until [changeCount] changes can be made and some of the burst is left for users; a [lowPriority] task
     * leaves more. Background tasks are served one after the other, those of low priority in a line of their own.
     */
    suspend fun acquireSpare(changeCount: Int, lowPriority: Boolean = false) {
        val turn = if (lowPriority) lowPriorityTasks else backgroundTasks
        turn.withLock {
            while (true) {
                refill()
                val waitMs = spareWaitMs(changeCount, if (lowPriority) LOW_PRIORITY_RESERVE else BACKGROUND_RESERVE)
                if (waitMs == 0L) break
                delay(waitMs)
            }
            take(changeCount)
        }
    }

    /** Takes the token of one request, but never waits: losing a lease costs more than a refused request. */
    fun acquireWithoutWaiting() {
        refill()
        requests.take(1)
    }

    /**
     * The service has refused a request for its rate. Once may be another controller's doing; when it happens again
     * within [REFUSAL_WINDOW_MS], the lowered limits hold for good, and if they do not explain it, this controller uses
     * less of them for a while.
     */
    fun onRateRefused() {
        val now = nowMs()
        val isRepeated = now - lastRefusalMs < REFUSAL_WINDOW_MS
        lastRefusalMs = now
        if (!isRepeated) return
        if (loweredLimits != null && !isLowered) {
            lowerLimits(loweredLimits, now)
        } else if (now - loweredMs >= REFUSAL_WINDOW_MS) {
            // Right after the lowering, other controllers may not have noticed the lowered limits yet.
            backoff.decrease(now)
        }
    }

    private fun lowerLimits(limits: RateLimits, now: Long) {
        isLowered = true
        loweredMs = now
        requests.limitPerS = limits.requestsPerS
        changes.limitPerS = limits.changesPerS
        log.info(
            "rate limits lowered after repeated refusals requests_per_s={} changes_per_s={}",
            limits.requestsPerS,
            limits.changesPerS,
        )
    }

    private fun refill() {
        val now = nowMs()
        val share = share()
        val usedShare = backoff.shareAt(now)
        requests.refill(now, share.requests * usedShare)
        changes.refill(now, share.changes * usedShare)
    }

    private fun take(changeCount: Int, requestCount: Int = 1) {
        requests.take(requestCount)
        changes.take(changeCount)
    }

    private fun waitMs(changeCount: Int): Long = maxOf(requests.waitMs(), if (changeCount > 0) changes.waitMs() else 0)

    private fun spareWaitMs(changeCount: Int, reserve: Double): Long {
        val capacity = changes.capacity
        val wantedChanges = minOf(changeCount + capacity * reserve, capacity)
        return maxOf(requests.waitMs(1.0), changes.waitMs(wantedChanges))
    }

    private companion object {
        val log: Logger = LoggerFactory.getLogger(RateLimiter::class.java)

        /** Refusals closer together than this are not by chance. */
        const val REFUSAL_WINDOW_MS = 10_000L

        /** The share of a burst of changes that background tasks leave to users. */
        const val BACKGROUND_RESERVE = 0.25

        /** The share that low-priority tasks leave to users and to the other background tasks. */
        const val LOW_PRIORITY_RESERVE = 0.4
    }
}
