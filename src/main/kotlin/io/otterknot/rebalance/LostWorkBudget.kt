package io.otterknot.rebalance

/**
 * Token bucket for the work lost by stops, in core-seconds. It refills by a share of the partition's cores and holds at
 * most [MAX_ACCRUAL_S] seconds of refill. It starts empty, so that a new leader does not begin with a burst of stops.
 * Its capacity is at least [MIN_CAP_CORE_S]: in a small partition a minute of refill would never allow one stop.
 */
class LostWorkBudget(private var atMs: Long) {
    var availableCoreS = 0.0
        private set

    /** Refills up to [nowMs] (monotonic clock) for a partition of [cores] cores, of which [share] may be lost. */
    fun refill(nowMs: Long, cores: Double, share: Double) {
        val perS = cores * share
        availableCoreS =
            minOf(availableCoreS + (nowMs - atMs) / 1000.0 * perS, maxOf(perS * MAX_ACCRUAL_S, MIN_CAP_CORE_S))
        atMs = nowMs
    }

    /** Spends [coreS] core-seconds; the budget may go below zero. */
    fun consume(coreS: Double) {
        availableCoreS -= coreS
    }

    private companion object {
        const val MAX_ACCRUAL_S = 60.0

        /** Core-seconds: a task of four cores that has run for a minute. */
        const val MIN_CAP_CORE_S = 240.0
    }
}
