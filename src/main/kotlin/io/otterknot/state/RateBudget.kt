package io.otterknot.state

import kotlinx.coroutines.delay

/**
 * This node's share of the state service's limits, as two buckets of one second's worth. A caller takes its place at
 * once and waits for its turn, so nobody is starved; [tryTake] refuses instead of waiting.
 */
class RateBudget(requestsPerS: Double, changesPerS: Double, private val nowMs: () -> Long) {
    private class Bucket(val perS: Double, var filledAt: Long) {
        val size = maxOf(perS * 0.8, 1.0)
        var level = size

        fun fill(now: Long) {
            level = minOf(size, level + (now - filledAt) * perS / 1000.0)
            filledAt = now
        }

        fun waitMs(): Long = if (level >= 0) 0 else (-level * 1000.0 / perS).toLong() + 1
    }

    private val requests = Bucket(requestsPerS, nowMs())
    private val changes = Bucket(changesPerS, nowMs())

    private fun fill() {
        val now = nowMs()
        requests.fill(now)
        changes.fill(now)
    }

    suspend fun take(changeCount: Int = 0) {
        fill()
        requests.level -= 1
        changes.level -= changeCount
        val wait = maxOf(requests.waitMs(), changes.waitMs())
        if (wait > 0) delay(wait)
    }

    /** Takes a place only if the wait is at most [maxWaitMs]; false: nothing was taken. */
    suspend fun tryTake(changeCount: Int, maxWaitMs: Long): Boolean {
        fill()
        requests.level -= 1
        changes.level -= changeCount
        val wait = maxOf(requests.waitMs(), changes.waitMs())
        if (wait > maxWaitMs) {
            requests.level += 1
            changes.level += changeCount
            return false
        }
        if (wait > 0) delay(wait)
        return true
    }

    /** Lease renewals never wait: losing a lease costs more than a refused request. */
    fun takeAtOnce() {
        fill()
        requests.level -= 1
    }
}
