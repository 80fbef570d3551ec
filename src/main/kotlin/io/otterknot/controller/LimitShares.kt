package io.otterknot.controller

import io.otterknot.ratelimit.RateLimitShare

/**
 * This controller's shares of the request limits of the key-value store and the cloud. Part of each limit is divided
 * evenly among all controllers, the rest by the partitions that each leads, since leaders have the work. One controller
 * at a time may act for a partition, so the shares of all never exceed the limit together.
 */
class LimitShares(
    private val controllerCount: Int,
    /** Of all partitions, the share that this controller may act for now: 0.0 to 1.0. */
    private val ledPartitionShare: () -> Double,
) {
    fun ofStore() = RateLimitShare(share(EVEN_STORE_REQUESTS), share(EVEN_STORE_CHANGES))

    /** The cloud limits calls alone: its limit of changes is a formality. */
    fun ofCloud() = RateLimitShare(share(EVEN_CLOUD_CALLS), 1.0)

    private fun share(even: Double): Double = USED * (even / controllerCount + (1 - even) * ledPartitionShare())

    private companion object {
        /** What all controllers together use of a limit; the rest allows for clocks that differ. */
        const val USED = 0.92

        /** Most requests to the store serve users, who come to every controller alike: watches, reads, submissions. */
        const val EVEN_STORE_REQUESTS = 0.7

        /** Submissions and cancellations come to every controller; completions and machines are written by leaders. */
        const val EVEN_STORE_CHANGES = 0.7

        /** Only leaders scale out and in; the even part lists machine types and serves leaders of a moment ago. */
        const val EVEN_CLOUD_CALLS = 0.25
    }
}
