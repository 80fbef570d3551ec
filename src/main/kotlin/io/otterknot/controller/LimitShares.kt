package io.otterknot.controller

import io.otterknot.ratelimit.RateLimitShare

/**
 * This controller's shares of the rate limits of the key-value store and the cloud. Part of each limit is divided
 * evenly among all controllers, the rest in proportion to the partitions that each leads, since leaders do the work of
 * their partitions. Only one controller at a time may act for a partition, so the shares together never exceed the
 * limit.
 */
class LimitShares(
    private val controllerCount: Int,
    /** Returns the share of all partitions that this controller may act for now, from 0.0 to 1.0. */
    private val ledPartitionShare: () -> Double,
) {
    fun ofStore() = RateLimitShare(share(EVEN_PART_OF_STORE_REQUESTS), share(EVEN_PART_OF_STORE_CHANGES))

    /** The cloud limits only the rate of calls, so the share of changes is not restricted. */
    fun ofCloud() = RateLimitShare(share(EVEN_PART_OF_CLOUD_CALLS), 1.0)

    private fun share(evenPart: Double): Double =
        USED_SHARE * (evenPart / controllerCount + (1 - evenPart) * ledPartitionShare())

    private companion object {
        /** The share of a limit that all controllers together use; the rest allows for clock differences. */
        const val USED_SHARE = 0.92

        /** Most store requests (watches, reads, submissions) serve users, who are spread over all controllers. */
        const val EVEN_PART_OF_STORE_REQUESTS = 0.7

        /** Every controller writes submissions and cancellations; only leaders write completions and machines. */
        const val EVEN_PART_OF_STORE_CHANGES = 0.7

        /**
         * Only leaders scale out and in; the evenly divided part covers listing the machine types, and the calls of
         * controllers that have just lost their partitions.
         */
        const val EVEN_PART_OF_CLOUD_CALLS = 0.25
    }
}
