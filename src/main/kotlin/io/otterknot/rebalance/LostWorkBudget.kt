package io.otterknot.rebalance

/**
 * How much work may be thrown away, in core-seconds: a share of what a partition does, saved up for a minute at the
 * most. Nothing is saved up at the start, so that a new owner does not begin with a wave of stops. A partition so small
 * that a minute's share would never pay for one task may save up for [LEAST_SAVED].
 */
class LostWorkBudget(private var atMs: Long) {
    var left = 0.0
        private set

    /** Time has passed for a partition of so many [cores], of which [share] may be lost. */
    fun refill(nowMs: Long, cores: Double, share: Double) {
        val perS = cores * share
        left = minOf(left + (nowMs - atMs) / 1000.0 * perS, maxOf(perS * SAVED_S, LEAST_SAVED))
        atMs = nowMs
    }

    fun take(coreS: Double) {
        left -= coreS
    }

    private companion object {
        const val SAVED_S = 60.0

        /** Core-seconds: a task of four cores that has run for a minute. */
        const val LEAST_SAVED = 240.0
    }
}
