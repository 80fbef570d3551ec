package io.otterknot.leadership

/**
 * Until when this node may act as an owner, by its own steady clock. It counts from the moment a good renewal was
 * *sent*: the state service cannot have started the lease's time before that, so its end here comes first.
 */
class Fence(private val ttlMs: Long) {
    var goodUntilMs = Long.MIN_VALUE
        private set

    fun renewed(sentMs: Long) {
        goodUntilMs = maxOf(goodUntilMs, sentMs + ttlMs - ttlMs / 500 - MARGIN_MS)
    }

    fun lost() {
        goodUntilMs = Long.MIN_VALUE
    }

    fun holds(nowMs: Long): Boolean = nowMs < goodUntilMs

    private companion object {
        const val MARGIN_MS = 500L
    }
}

/**
 * The time to live of an owner's lease: long enough to ride out an outage of the state service, and short enough that
 * an owner that is cut off from it stops, and its workers' leases end, before a cancelled task must be gone.
 */
fun leaseTtlMs(leaseS: Double, cancelS: Double): Long =
    ((cancelS - leaseS - TAKE_OVER_MARGIN_S) * 1000).toLong().coerceIn(2_000L, 30_000L)

private const val TAKE_OVER_MARGIN_S = 3.0

/** The order in which nodes take an unowned partition: nodes of its zone first, then the others, turned by the zone. */
fun claimRank(zone: String, zones: List<String>, self: String, domains: Map<String, String>): Int {
    val home = domains.filterValues { it == zone }.keys.sorted()
    val others = (domains.keys - home.toSet()).sorted()
    val turn = if (others.isEmpty()) 0 else zones.sorted().indexOf(zone).coerceAtLeast(0) % others.size
    val order = home + others.drop(turn) + others.take(turn)
    return order.indexOf(self).coerceAtLeast(0)
}
