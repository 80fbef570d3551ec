package io.otterknot.partition

/**
 * Upper bounds of the duration of a worker's lease by its leader's clock, in milliseconds.
 *
 * @property leaseMs the lease duration in the workers' settings.
 * @property safetyMarginMs allows for errors in measuring time and for delays within a process.
 * @property maxResponseDelayMs how long after sending a heartbeat a worker may still accept the response to it.
 */
class LeaseTimings(val leaseMs: Long, val safetyMarginMs: Long = 700, val maxResponseDelayMs: Long = 4_000) {
    /** The time after which a lease has expired by any clock that keeps to the protocol's bound on drift. */
    val guaranteedExpiryMs: Long get() = leaseMs + leaseMs / MAX_DRIFT_DIVISOR + safetyMarginMs

    /**
     * A response to a heartbeat that arrives later than this after the earlier leader could last act
     * ([LeadershipTerm.priorLeaderUntilMs]) does not renew a lease from that leader.
     */
    val noRenewalAfterMs: Long get() = guaranteedExpiryMs + maxResponseDelayMs

    private companion object {
        /** Clocks drift by at most one part in this many. */
        const val MAX_DRIFT_DIVISOR = 500
    }
}
