package io.otterknot.leadership

/**
 * What a controller knows of itself and its site from the settings.
 *
 * @property label this controller's name, as it stands in leader records
 * @property zones all zones of the site; each is one partition
 * @property domains the zone that each controller of the site runs in, by label, this one included
 * @property storeLeaseTtlMs time to live of the store lease, see [storeLeaseTtlMs]
 */
class LeadershipSettings(
    val label: String,
    val zones: List<String>,
    val domains: Map<String, String>,
    val storeLeaseTtlMs: Long,
) {
    /**
     * This controller's place in the order in which controllers acquire the partition of [zone] when nobody leads it,
     * 0 for the first: those of the zone come first, then the others, rotated so that zones differ in who is next.
     */
    fun acquisitionRank(zone: String): Int {
        val local = domains.filterValues { it == zone }.keys.sorted()
        val remote = (domains.keys - local.toSet()).sorted()
        val rotation = if (remote.isEmpty()) 0 else zones.sorted().indexOf(zone).coerceAtLeast(0) % remote.size
        val order = local + remote.drop(rotation) + remote.take(rotation)
        return order.indexOf(label).coerceAtLeast(0)
    }
}
