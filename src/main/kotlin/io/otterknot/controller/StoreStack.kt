package io.otterknot.controller

import io.otterknot.config.StoreSettings
import io.otterknot.metrics.Metrics
import io.otterknot.peer.PeerRelay
import io.otterknot.ratelimit.RateLimiter
import io.otterknot.ratelimit.RateLimits
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.RelayPool
import io.otterknot.store.StoreConnection
import io.otterknot.store.StoreHealth
import io.otterknot.store.StoreReplica
import io.otterknot.store.WriteLimits
import kotlin.random.Random

/** The layers through which a controller uses the key-value store, from the connections up to the replica. */
internal class StoreStack(
    settings: StoreSettings,
    controllerCount: Int,
    transports: ControllerTransports,
    shares: LimitShares,
    metrics: Metrics,
    random: Random,
    nowMs: () -> Long,
) {
    private val rateLimiter = RateLimiter(
        settings.rps,
        settings.writeRps,
        nowMs,
        shares::ofStore,
        RateLimits(settings.leastRps, settings.leastWriteRps),
    )
    val health = StoreHealth(nowMs)
    val relays = RelayPool(transports.peers.values.map(::PeerRelay), random, nowMs)
    val connection = StoreConnection(transports.state, health, relays)
    val client =
        KeyValueStoreClient(connection, StoreConnection(transports.watch, health, relays), rateLimiter, metrics)
    val replica = StoreReplica(client, random, nowMs, watchPauseMs(settings, controllerCount))

    /** Starts with the lower limits that the settings announce, so that records still fit once these take effect. */
    val limits = WriteLimits((settings.leastValueKb * BYTES_PER_KIB).toInt(), settings.leastTxnOps)
    val access = StoreAccess(client, replica, limits)

    private companion object {
        const val BYTES_PER_KIB = 1024

        /**
         * The watch pause is the time in which an even share of the request limit allows 3.5 requests. In thousandths
         * of a request: divided by requests per second, it gives milliseconds.
         */
        const val MILLI_REQUESTS_PER_WATCH = 3_500.0

        /** Longer pauses would delay users; shorter ones hardly reduce the number of changes that a watch returns. */
        const val MIN_WATCH_PAUSE_MS = 120L
        const val MAX_WATCH_PAUSE_MS = 250L

        /** Returns the pause between two watches. Each watch counts as a request, so a low limit needs a long pause. */
        fun watchPauseMs(settings: StoreSettings, controllerCount: Int): Long =
            (MILLI_REQUESTS_PER_WATCH * controllerCount / settings.rps).toLong()
                .coerceIn(MIN_WATCH_PAUSE_MS, MAX_WATCH_PAUSE_MS)
    }
}
