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
 * How much to rent. Where the operator's aims name no price, capacity is taken as soon as the cloud has it, up to
 * [maxMachines]: idle machines cost nothing that anybody looks at, and a boot is longer than most waits asked for.
 */
class FleetPolicy(private val thrifty: Boolean, private val maxMachines: Int) {

    fun rent(view: FleetView, types: List<MachineType>, zone: String, closed: (Kind) -> Boolean): List<Rent> {
        val room = maxMachines - view.machines
        if (room <= 0) return emptyList()
        val here = types.filter { zone in it.zones }
        if (here.isEmpty()) return emptyList()
        if (!thrifty) {
            val kinds = here.flatMap { listOf(Kind(it.name, true), Kind(it.name, false)) }.filterNot(closed)
            return kinds.map { Rent(it, minOf(room, BATCH)) }
        }
        val rents = ArrayList<Rent>()
        var ordinaryGap = view.ordinaryDemand - view.ordinarySupply
        // Ordinary machines are rented for work that waits: the one that is up first serves it best.
        for (type in here.sortedBy { it.bootS }) {
            val kind = Kind(type.name, false)
            if (ordinaryGap <= 0 || closed(kind)) continue
            val count = minOf(room, Math.ceil(ordinaryGap / type.cores).toInt())
            rents.add(Rent(kind, count))
            ordinaryGap = 0.0
        }
        var gap = view.totalDemand - view.totalSupply - rents.sumOf { rent -> rent.count * here.first { it.name == rent.kind.type }.cores }
        for (type in here.sortedBy { it.spotPrice / it.cores }) {
            val kind = Kind(type.name, true)
            if (gap <= type.cores / 4 || closed(kind)) continue
            val count = minOf(room, Math.ceil(gap / type.cores).toInt())
            rents.add(Rent(kind, count))
            gap = 0.0
        }
        return rents
    }

    /** Whether a part can do without a machine of this many cores; where no price is named, it always keeps it. */
    fun spares(view: FleetView, spot: Boolean, cores: Double): Boolean {
        if (!thrifty) return false
        if (view.totalSupply - cores < view.totalDemand * (1 + SLACK)) return false
        return spot || view.ordinarySupply - cores >= view.ordinaryDemand * (1 + SLACK)
    }

    private companion object {
        const val BATCH = 6
        const val SLACK = 0.1
    }
}
