package io.otterknot.leadership

import org.slf4j.LoggerFactory

/**
 * The partitions that this controller leads, each under the fencing token of its acquisition. The one place where a
 * token comes and goes, so the listener learns of each acquisition and each loss exactly once.
 */
internal class LedPartitionTokens(private val listener: LeadershipListener) {
    private val log = LoggerFactory.getLogger(LedPartitionTokens::class.java)
    private val fencingTokens = HashMap<String, Long>()

    val size: Int get() = fencingTokens.size

    operator fun contains(zone: String): Boolean = zone in fencingTokens

    /** The fencing token under which the partition of [zone] is led; null if it is not. */
    fun fencingToken(zone: String): Long? = fencingTokens[zone]

    /** A copy of the fencing tokens by zone, as they are now. */
    fun fencingTokens(): Map<String, Long> = fencingTokens.toMap()

    fun acquired(acquisition: LeadershipAcquisition) {
        fencingTokens[acquisition.zone] = acquisition.fencingToken
        log.info("partition={} fencing_token={} leadership acquired", acquisition.zone, acquisition.fencingToken)
        listener.leadershipAcquired(acquisition)
    }

    /** Somebody else leads the partition of [zone], or may do so; without effect if it is not led here. */
    fun lost(zone: String) {
        val fencingToken = fencingTokens.remove(zone) ?: return
        log.warn("partition={} fencing_token={} leadership lost", zone, fencingToken)
        listener.leadershipLost(zone)
    }

    fun allLost() = fencingTokens.keys.toList().forEach(::lost)

    /** Gives the partition of [zone] up of this controller's own accord. */
    fun resign(zone: String) {
        if (fencingTokens.remove(zone) != null) listener.leadershipLost(zone)
    }
}
