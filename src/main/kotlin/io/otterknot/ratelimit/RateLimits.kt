package io.otterknot.ratelimit

/** The limits of a service for all controllers together: requests of any kind, and changes of the service's state. */
class RateLimits(val requestsPerS: Double, val changesPerS: Double)

/** This controller's shares of a service's [RateLimits], each between 0 and 1. */
class RateLimitShare(val requests: Double, val changes: Double) {
    companion object {
        val FULL = RateLimitShare(1.0, 1.0)
    }
}
