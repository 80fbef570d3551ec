package io.otterknot.ratelimit

import io.otterknot.time.NEVER_MS

/**
 * The share of the known limits that is used, by multiplicative decrease with each refusal that the limits do not
 * explain and additive increase with time.
 */
internal class RefusalBackoff {
    private var share = 1.0
    private var decreasedMs = NEVER_MS

    /** A request was refused for its rate, although the limits allow it. */
    fun decrease(nowMs: Long) {
        if (nowMs - decreasedMs < MIN_DECREASE_INTERVAL_MS) return
        share = maxOf(MIN_SHARE, shareAt(nowMs) * DECREASE_FACTOR)
        decreasedMs = nowMs
    }

    fun shareAt(nowMs: Long): Double {
        val recoveringMs = maxOf(0L, nowMs - decreasedMs - RECOVERY_DELAY_MS)
        return minOf(1.0, share + recoveringMs * RECOVERY_PER_MS)
    }

    private companion object {
        const val MIN_SHARE = 0.2
        const val DECREASE_FACTOR = 0.8
        const val MIN_DECREASE_INTERVAL_MS = 2_000L
        const val RECOVERY_DELAY_MS = 10_000L

        /** A tenth of the limits in ten seconds. */
        const val RECOVERY_PER_MS = 1e-5
    }
}
