package io.otterknot.autoscaling

import io.otterknot.wire.MachineType

/** A kind of machine that can be rented. */
data class MachineKind(val type: String, val spot: Boolean)

class ScaleOutDecision(val kind: MachineKind, val count: Int)

/** What a partition has and needs, in cores. */
class ScalingInputs(
    /** Tasks that must not run on spot machines, waiting or active. */
    val ordinaryDemand: Double,
    val totalDemand: Double,
    val ordinarySupply: Double,
    val totalSupply: Double,
) {
    fun without(spot: Boolean, cores: Double) = ScalingInputs(
        ordinaryDemand,
        totalDemand,
        if (spot) ordinarySupply else ordinarySupply - cores,
        totalSupply - cores,
    )
}

/**
 * How much to rent and to keep: what the highest demand of the last while took, and a little more. Spot machines are
 * rented for whatever may use them, ordinary ones only for work that may use no other. What bounds it is the demand,
 * which team limits bound, and what the cloud refuses.
 */
class ScalingPolicy {

    fun rent(
        view: ScalingInputs,
        types: List<MachineType>,
        zone: String,
        closed: (MachineKind) -> Boolean,
    ): List<ScaleOutDecision> {
        val here = types.filter { zone in it.zones && it.cores > 0 }
        val rents = ArrayList<ScaleOutDecision>()
        fun take(kind: MachineKind, cores: Double, gap: Double): Double {
            val count = Math.ceil(gap / cores).toInt()
            if (count <= 0) return 0.0
            rents.add(ScaleOutDecision(kind, count))
            return count * cores
        }
        val ordinaryGap = view.ordinaryDemand * (1 + HEADROOM) - view.ordinarySupply
        val ordinary = here.filterNot { closed(MachineKind(it.name, false)) }.minByOrNull { cost(it, it.price) }
        val rented = if (ordinary == null) 0.0 else take(MachineKind(ordinary.name, false), ordinary.cores, ordinaryGap)
        val gap = view.totalDemand * (1 + HEADROOM) - view.totalSupply - rented
        val spot = here.filterNot { closed(MachineKind(it.name, true)) }.minByOrNull { cost(it, it.spotPrice) }
        if (spot != null) {
            take(MachineKind(spot.name, true), spot.cores, gap)
        } else if (gap > 0 && ordinary != null && rents.isEmpty()) {
            // No spot machine is to be had: an ordinary one costs more, but the work would wait.
            take(MachineKind(ordinary.name, false), ordinary.cores, gap)
        }
        return rents
    }

    /** Whether a partition can do without a machine of this many cores. */
    fun spares(view: ScalingInputs, spot: Boolean, cores: Double): Boolean {
        if (view.totalSupply - cores < view.totalDemand * (1 + HEADROOM)) return false
        return spot || view.ordinarySupply - cores >= view.ordinaryDemand * (1 + HEADROOM)
    }

    /** What a core costs for a short stay, boot and the fetch of an image included, in which it does nothing yet. */
    private fun cost(type: MachineType, price: Double): Double {
        val fetchS = if (type.fetchGbPerS > 0) IMAGE_GB / type.fetchGbPerS else 0.0
        return price / type.cores * (STAY_S + type.bootS + fetchS) / STAY_S
    }

    private companion object {
        const val HEADROOM = 0.15
        const val STAY_S = 60.0
        const val IMAGE_GB = 2.0
    }
}
