package io.otterknot.ratelimit

/**
 * A token bucket whose balance may be negative: a caller takes its tokens first and then waits until [tokens] is at
 * least 0 again. The capacity is what accrues in [BURST_S] at the current rate, and at least one token.
 */
internal class TokenBucket(var limitPerS: Double, private var lastRefillMs: Long) {
    private var ratePerS = limitPerS
    private var tokens = Double.MAX_VALUE

    val capacity: Double get() = maxOf(ratePerS * BURST_S, 1.0)

    val isHalfFull: Boolean get() = tokens >= capacity / 2

    /** Adds the tokens accrued since the last refill at [share] of the limit. */
    fun refill(nowMs: Long, share: Double) {
        ratePerS = limitPerS * share
        tokens = minOf(capacity, tokens + (nowMs - lastRefillMs) * ratePerS / MS_PER_S)
        lastRefillMs = nowMs
    }

    /** Takes [count] tokens, or returns tokens if [count] is negative. */
    fun take(count: Int) {
        tokens -= count
    }

    /** Returns the time until the bucket holds [minTokens] tokens, or 0 if it already does. */
    fun waitMs(minTokens: Double = 0.0): Long {
        if (tokens >= minTokens) return 0
        return ((minTokens - tokens) * MS_PER_S / ratePerS).toLong() + 1
    }

    private companion object {
        const val BURST_S = 0.9
        const val MS_PER_S = 1_000.0
    }
}
