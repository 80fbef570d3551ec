package io.otterknot.leadership

/**
 * The settings of this controller and its site that leadership depends on.
 *
 * @property label this controller's name, as written in leader records
 * @property zones all zones of the site; each is one partition
 * @property domains the zone that each controller of the site runs in, by label, including this one
 * @property storeLeaseTtlMs time to live of the store lease, see [storeLeaseTtlMs]
 */
class LeadershipSettings(
    val label: String,
    val zones: List<String>,
    val domains: Map<String, String>,
    val storeLeaseTtlMs: Long,
) {
    /**
     * This controller's position in the order in which controllers acquire the partition of [zone] when it has no
     * leader, starting at 0. Controllers in the zone come first, then the others, rotated so that zones differ in which
     * controller is next.
     */
    fun acquisitionRank(zone: String): Int {
        val local = domains.filterValues { it == zone }.keys.sorted()
        val remote = (domains.keys - local.toSet()).sorted()
        val rotation = if (remote.isEmpty()) 0 else zones.sorted().indexOf(zone).coerceAtLeast(0) % remote.size
        val order = local + remote.drop(rotation) + remote.take(rotation)
        return order.indexOf(label).coerceAtLeast(0)
    }
}
