package io.otterknot.leadership

/**
 * The time until which this controller may act as a leader, by its own monotonic clock.
 *
 * Ensures that no other controller leads the partition before the fence expires (`docs/design.md`, "One leader at a
 * time"): the time is counted from the moment at which a successful renewal was *sent*. The store cannot have started
 * the lease's time to live before that moment, so the fence expires before the lease does, even if the two clocks run
 * at slightly different rates.
 *
 * @property leaseTtlMs time to live of the store lease that the fence is derived from
 */
class Fence(val leaseTtlMs: Long) {
    /** When the fence expires, by this controller's monotonic clock. */
    var validUntilMs = Long.MIN_VALUE
        private set

    /** Extends the fence after a renewal sent at [renewalSentMs] succeeded; never shortens it. */
    fun extend(renewalSentMs: Long) {
        validUntilMs = maxOf(validUntilMs, renewalSentMs + leaseTtlMs - leaseTtlMs / DRIFT_DIVISOR - MARGIN_MS)
    }

    /** Ends the fence immediately, because the store lease has expired. */
    fun revoke() {
        validUntilMs = Long.MIN_VALUE
    }

    fun isValid(nowMs: Long): Boolean = nowMs < validUntilMs

    private companion object {
        /** 1/500 (0.2 %) of the time to live is subtracted to allow for clocks that run at different rates. */
        const val DRIFT_DIVISOR = 500

        /** Subtracted in addition; the bound on cancelled tasks in `docs/design.md` depends on it. */
        const val MARGIN_MS = 500L
    }
}
