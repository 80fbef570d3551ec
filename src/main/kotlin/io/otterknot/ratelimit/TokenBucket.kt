package io.otterknot.ratelimit

/**
 * A token bucket that may go into debt: [tokens] below 0 are taken by callers that wait for their turn. It holds
 * [BURST_S] worth of its rate, and at least one token.
 */
internal class TokenBucket(var limitPerS: Double, private var refilledMs: Long) {
    private var ratePerS = limitPerS
    private var tokens = Double.MAX_VALUE

    val capacity: Double get() = maxOf(ratePerS * BURST_S, 1.0)

    val isHalfFull: Boolean get() = tokens >= capacity / 2

    /** Adds what has come since the last refill, at [share] of the limit. */
    fun refill(nowMs: Long, share: Double) {
        ratePerS = limitPerS * share
        tokens = minOf(capacity, tokens + (nowMs - refilledMs) * ratePerS / MS_PER_S)
        refilledMs = nowMs
    }

    /** Takes [count] tokens, or puts them back if it is negative. */
    fun take(count: Int) {
        tokens -= count
    }

    /** How long until [wanted] tokens are in it; 0: they are. */
    fun waitMs(wanted: Double = 0.0): Long {
        if (tokens >= wanted) return 0
        return ((wanted - tokens) * MS_PER_S / ratePerS).toLong() + 1
    }

    private companion object {
        const val BURST_S = 0.9
        const val MS_PER_S = 1_000.0
    }
}
