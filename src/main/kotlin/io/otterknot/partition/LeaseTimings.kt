package io.otterknot.partition

/**
 * How long a worker's lease may last as its leader sees it, in milliseconds.
 *
 * @property leaseMs the lease that the workers' settings give.
 * @property safetyMarginMs added for the measuring of time and for delays within a process.
 * @property maxResponseDelayMs how long after a heartbeat was sent a worker may still accept the response to it.
 */
class LeaseTimings(val leaseMs: Long, val safetyMarginMs: Long = 700, val maxResponseDelayMs: Long = 4_000) {
    /** After this long a lease has expired by any clock that keeps to the protocol's bound on drift. */
    val surelyExpiredAfterMs: Long get() = leaseMs + leaseMs / MAX_DRIFT_DIVISOR + safetyMarginMs

    /** No response to a heartbeat that came in this long after an acquisition prolongs a lease from before it. */
    val noRenewalAfterMs: Long get() = surelyExpiredAfterMs + maxResponseDelayMs

    private companion object {
        /** Clocks drift by at most one part in so many. */
        const val MAX_DRIFT_DIVISOR = 500
    }
}
