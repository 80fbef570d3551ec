package io.otterknot.ratelimit

/** What a service lets all controllers together ask of it: requests of any kind, and changes of its state. */
class RateLimits(val requestsPerS: Double, val changesPerS: Double)

/** This controller's share of a service's [RateLimits], between 0 and 1 each. */
class RateLimitShare(val requests: Double, val changes: Double) {
    companion object {
        val WHOLE = RateLimitShare(1.0, 1.0)
    }
}
