package io.otterknot.leadership

/**
 * Until when this controller may act as a leader, by its own steady clock.
 *
 * Keeps "nobody else leads the partition before the fence ends" (`docs/design.md`, "One leader at a time"): the time is
 * counted from the moment at which a successful renewal was *sent*. The store cannot have started the lease's time to
 * live before that moment, so the fence ends before the lease does, whatever the drift of both clocks.
 *
 * @property leaseTtlMs time to live of the store lease that the fence stands for
 */
class Fence(val leaseTtlMs: Long) {
    private var validUntilMs = Long.MIN_VALUE

    /** A renewal sent at [renewalSentMs] succeeded. An older renewal than the last one takes nothing back. */
    fun extend(renewalSentMs: Long) {
        validUntilMs = maxOf(validUntilMs, renewalSentMs + leaseTtlMs - leaseTtlMs / DRIFT_DIVISOR - MARGIN_MS)
    }

    /** The lease is gone: nothing may be done on it from now on. */
    fun revoke() {
        validUntilMs = Long.MIN_VALUE
    }

    fun isValid(nowMs: Long): Boolean = nowMs < validUntilMs

    private companion object {
        /** One part in so many of the time to live, 0.2 %, is taken off for clocks that run at different speeds. */
        const val DRIFT_DIVISOR = 500

        /** Taken off besides; the bound on cancelled tasks in `docs/design.md` counts on it. */
        const val MARGIN_MS = 500L
    }
}
