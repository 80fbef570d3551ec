package io.otterknot.leadership

import org.slf4j.LoggerFactory

/**
 * The partitions that this controller leads, each with the fencing token of its acquisition. Tokens are added and
 * removed only here, so the listener is notified of each acquisition and each loss exactly once.
 */
internal class LedPartitionTokens(private val listener: LeadershipListener) {
    private val log = LoggerFactory.getLogger(LedPartitionTokens::class.java)
    private val fencingTokens = HashMap<String, Long>()

    val size: Int get() = fencingTokens.size

    operator fun contains(zone: String): Boolean = zone in fencingTokens

    /** The fencing token under which this controller leads the partition of [zone], or null if it does not. */
    fun fencingToken(zone: String): Long? = fencingTokens[zone]

    /** A copy of the fencing tokens by zone, as they are now. */
    fun fencingTokens(): Map<String, Long> = fencingTokens.toMap()

    fun acquired(acquisition: LeadershipAcquisition) {
        fencingTokens[acquisition.zone] = acquisition.fencingToken
        log.info("partition={} fencing_token={} leadership acquired", acquisition.zone, acquisition.fencingToken)
        listener.leadershipAcquired(acquisition)
    }

    /** Removes the partition of [zone], which another controller leads or may lead; no effect if it is not led here. */
    fun lost(zone: String) {
        val fencingToken = fencingTokens.remove(zone) ?: return
        log.warn("partition={} fencing_token={} leadership lost", zone, fencingToken)
        listener.leadershipLost(zone)
    }

    fun allLost() = fencingTokens.keys.toList().forEach(::lost)

    /** Resigns the leadership of the partition of [zone] voluntarily; no effect if it is not led here. */
    fun resign(zone: String) {
        if (fencingTokens.remove(zone) != null) listener.leadershipLost(zone)
    }
}
