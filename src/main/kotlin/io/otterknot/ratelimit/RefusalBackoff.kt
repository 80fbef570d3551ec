package io.otterknot.ratelimit

import io.otterknot.time.NEVER_MS

/**
 * Computes the share of the known limits to use: multiplicative decrease on each refusal that the limits do not
 * explain, additive increase over time.
 */
internal class RefusalBackoff {
    private var share = 1.0
    private var lastDecreaseMs = NEVER_MS

    /** Decreases the share after a request was refused because of its rate although it was within the limits. */
    fun decrease(nowMs: Long) {
        if (nowMs - lastDecreaseMs < MIN_DECREASE_INTERVAL_MS) return
        share = maxOf(MIN_SHARE, shareAt(nowMs) * DECREASE_FACTOR)
        lastDecreaseMs = nowMs
    }

    fun shareAt(nowMs: Long): Double {
        val recoveringMs = maxOf(0L, nowMs - lastDecreaseMs - RECOVERY_DELAY_MS)
        return minOf(1.0, share + recoveringMs * RECOVERY_PER_MS)
    }

    private companion object {
        const val MIN_SHARE = 0.2
        const val DECREASE_FACTOR = 0.8
        const val MIN_DECREASE_INTERVAL_MS = 2_000L
        const val RECOVERY_DELAY_MS = 10_000L

        /** Restores a tenth of the limits in ten seconds. */
        const val RECOVERY_PER_MS = 1e-5
    }
}
