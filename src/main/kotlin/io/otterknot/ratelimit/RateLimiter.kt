package io.otterknot.ratelimit

import io.otterknot.time.NEVER_MS
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Limits the rate of this controller's requests to a service with two token buckets, one for requests and one for
 * changes. The [share] of the service's limits may change when this controller acquires or loses partitions; the shares
 * of all controllers together never exceed the limits.
 *
 * - [acquire] and [tryAcquire] are for requests that a user or a watch waits for. They take their tokens immediately,
 *   even if the balance becomes negative, and then wait until it is no longer negative. [tryAcquire] is for submissions
 *   and cancellations, which are refused rather than delayed for long.
 * - [acquireSpare] is for background tasks. It takes its tokens only when they are available and does not make the
 *   balance negative, so that users do not queue behind a long batch.
 * - [acquireWithoutWaiting] is for lease renewals and the requests that they depend on.
 *
 * Reads never wait for the bucket of changes. Confined to the controller's event loop.
 */
class RateLimiter(
    requestsPerS: Double,
    changesPerS: Double,
    private val nowMs: () -> Long,
    private val share: () -> RateLimitShare = { RateLimitShare.FULL },
    /**
     * The limits that the service will apply from an unannounced time on, or null if there are none. Repeated refusals
     * show that they apply.
     */
    private val loweredLimits: RateLimits? = null,
) {
    private val requests = TokenBucket(requestsPerS, nowMs())
    private val changes = TokenBucket(changesPerS, nowMs())
    private val backoff = RefusalBackoff()
    private val backgroundMutex = Mutex()
    private val lowPriorityMutex = Mutex()
    private var lastRefusalMs = NEVER_MS
    private var isLowered = false
    private var loweredAtMs = NEVER_MS

    /** Whether at least half of a burst of requests is available, so that callers need not save requests. */
    val hasAmpleRequests: Boolean
        get() {
            refill()
            return requests.isHalfFull
        }

    /** How many changes a background task may make in one transaction without exceeding a burst; at least 1. */
    val maxBackgroundChanges: Int
        get() {
            refill()
            return maxOf(1, changes.capacity.toInt())
        }

    /**
     * Takes the tokens of a request with [changeCount] changes and waits until the balance is no longer negative. The
     * wait has no limit.
     */
    suspend fun acquire(changeCount: Int = 0) {
        refill()
        take(changeCount)
        val waitMs = waitMs(changeCount)
        if (waitMs > 0) delay(waitMs)
    }

    /** Like [acquire] if the wait is at most [maxWaitMs]; otherwise takes no tokens and returns false immediately. */
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
     * Waits until the tokens of a request with [changeCount] changes are available in addition to a reserve for users,
     * or the bucket of changes is full, then takes them. A [lowPriority] task leaves a larger reserve. Background tasks
     * take tokens one after the other; low-priority tasks have a queue of their own.
     */
    suspend fun acquireSpare(changeCount: Int, lowPriority: Boolean = false) {
        val mutex = if (lowPriority) lowPriorityMutex else backgroundMutex
        mutex.withLock {
            while (true) {
                refill()
                val waitMs = spareWaitMs(changeCount, if (lowPriority) LOW_PRIORITY_RESERVE else BACKGROUND_RESERVE)
                if (waitMs == 0L) break
                delay(waitMs)
            }
            take(changeCount)
        }
    }

    /** Takes the token of one request without waiting: losing a lease costs more than a refused request. */
    fun acquireWithoutWaiting() {
        refill()
        requests.take(1)
    }

    /**
     * Handles the refusal of a request because of its rate. A single refusal may be caused by another controller and
     * has no effect. A second one within [REFUSAL_WINDOW_MS] switches permanently to [loweredLimits]. If there are none
     * or they already apply, this controller temporarily uses a smaller share of the limits.
     */
    fun onRateRefused() {
        val now = nowMs()
        val isRepeated = now - lastRefusalMs < REFUSAL_WINDOW_MS
        lastRefusalMs = now
        if (!isRepeated) return
        if (loweredLimits != null && !isLowered) {
            lowerLimits(loweredLimits, now)
        } else if (now - loweredAtMs >= REFUSAL_WINDOW_MS) {
            // Shortly after the limits were lowered, refusals may be caused by controllers that still use the old limits.
            backoff.decrease(now)
        }
    }

    private fun lowerLimits(limits: RateLimits, now: Long) {
        isLowered = true
        loweredAtMs = now
        requests.limitPerS = limits.requestsPerS
        changes.limitPerS = limits.changesPerS
        log.info(
            "requests_per_s={} changes_per_s={} rate limits lowered after repeated refusals",
            limits.requestsPerS,
            limits.changesPerS,
        )
    }

    private fun refill() {
        val now = nowMs()
        val share = share()
        val backoffShare = backoff.shareAt(now)
        requests.refill(now, share.requests * backoffShare)
        changes.refill(now, share.changes * backoffShare)
    }

    private fun take(changeCount: Int, requestCount: Int = 1) {
        requests.take(requestCount)
        changes.take(changeCount)
    }

    private fun waitMs(changeCount: Int): Long = maxOf(requests.waitMs(), if (changeCount > 0) changes.waitMs() else 0)

    private fun spareWaitMs(changeCount: Int, reserve: Double): Long {
        val capacity = changes.capacity
        val minChanges = minOf(changeCount + capacity * reserve, capacity)
        return maxOf(requests.waitMs(1.0), changes.waitMs(minChanges))
    }

    private companion object {
        val log: Logger = LoggerFactory.getLogger(RateLimiter::class.java)

        /** Two refusals within this time are not a coincidence: the limits in use are too high. */
        const val REFUSAL_WINDOW_MS = 10_000L

        /** The share of a burst of changes that background tasks reserve for users. */
        const val BACKGROUND_RESERVE = 0.25

        /** The share that low-priority tasks reserve for users and for the other background tasks. */
        const val LOW_PRIORITY_RESERVE = 0.4
    }
}
