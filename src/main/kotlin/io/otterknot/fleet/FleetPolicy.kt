package io.otterknot.fleet

import io.otterknot.wire.MachineType

/** A kind of machine that can be rented. */
data class Kind(val type: String, val spot: Boolean)

class Rent(val kind: Kind, val count: Int)

/** What a part has and needs, in cores. */
class FleetView(
    /** Tasks that must not run on spot machines, waiting or active. */
    val ordinaryDemand: Double,
    val totalDemand: Double,
    val ordinarySupply: Double,
    val totalSupply: Double,
    val machines: Int,
)

/**
 * How much to rent and to keep: what the highest demand of the last while took, and a little more. Spot machines are
 * rented for whatever may use them, ordinary ones only for work that may use no other.
 */
class FleetPolicy(private val maxMachines: Int) {

    fun rent(view: FleetView, types: List<MachineType>, zone: String, closed: (Kind) -> Boolean): List<Rent> {
        var room = maxMachines - view.machines
        val here = types.filter { zone in it.zones }
        val rents = ArrayList<Rent>()
        fun take(kind: Kind, cores: Double, gap: Double): Double {
            val count = minOf(room, Math.ceil(gap / cores).toInt())
            if (count <= 0) return 0.0
            room -= count
            rents.add(Rent(kind, count))
            return count * cores
        }
        // Work that waits for an ordinary machine is served best by the type that is up first.
        var ordinaryGap = view.ordinaryDemand * (1 + HEADROOM) - view.ordinarySupply
        val ordinary = here.filterNot { closed(Kind(it.name, false)) }.minByOrNull { it.bootS }
        if (ordinary != null) ordinaryGap -= take(Kind(ordinary.name, false), ordinary.cores, ordinaryGap)
        val rented = rents.sumOf { rent -> rent.count * here.first { it.name == rent.kind.type }.cores }
        val gap = view.totalDemand * (1 + HEADROOM) - view.totalSupply - rented
        val spot = here.filterNot { closed(Kind(it.name, true)) }.minByOrNull { it.spotPrice / it.cores }
        if (spot != null) {
            take(Kind(spot.name, true), spot.cores, gap)
        } else if (gap > 0) {
            // No spot machine is to be had: an ordinary one costs more, but the work would wait.
            val dear = here.filterNot { closed(Kind(it.name, false)) }.minByOrNull { it.price / it.cores }
            if (dear != null && rents.isEmpty()) take(Kind(dear.name, false), dear.cores, gap)
        }
        return rents
    }

    /** Whether a part can do without a machine of this many cores. */
    fun spares(view: FleetView, spot: Boolean, cores: Double): Boolean {
        if (view.totalSupply - cores < view.totalDemand * (1 + HEADROOM)) return false
        return spot || view.ordinarySupply - cores >= view.ordinaryDemand * (1 + HEADROOM)
    }

    private companion object {
        const val HEADROOM = 0.15
    }
}
