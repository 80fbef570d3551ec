package io.otterknot.autoscaling

import io.otterknot.wire.MachineType
import kotlin.math.ceil

/**
 * How many machines to add and which can be spared: supply is to cover demand (see [DemandMeter]) and a headroom. Spot
 * instances are added for whatever may use them, ordinary machines only for work that must not. The amount is bounded by
 * demand, which the teams' quota limits bound, and by what the cloud has.
 */
class ScalingPolicy {
    /** The machines to add in [zone]; kinds that [isExhausted] are not to be had at present. */
    fun scaleOut(
        inputs: ScalingInputs,
        types: List<MachineType>,
        zone: String,
        isExhausted: (MachineKind) -> Boolean,
    ): List<ScaleOutDecision> {
        val offered = types.filter { zone in it.zones && it.cores > 0 }
        val ordinary = offered.filterNot { isExhausted(MachineKind(it.name, spot = false)) }
            .minByOrNull { costPerCore(it, it.price) }
        val ordinaryGap = withHeadroom(inputs.ordinaryDemandCores) - inputs.ordinarySupplyCores
        val forOrdinaryWork = ordinary?.let { covering(ordinaryGap, it, spot = false) }

        val gap = withHeadroom(inputs.totalDemandCores) - inputs.totalSupplyCores - (forOrdinaryWork?.cores ?: 0.0)
        val spot = offered.filterNot { isExhausted(MachineKind(it.name, spot = true)) }
            .minByOrNull { costPerCore(it, it.spotPrice) }
        if (spot != null) return listOfNotNull(forOrdinaryWork, covering(gap, spot, spot = true))
        if (forOrdinaryWork != null) return listOf(forOrdinaryWork)
        // No spot instance is to be had: an ordinary machine costs more, but the work would wait.
        return listOfNotNull(ordinary?.let { covering(gap, it, spot = false) })
    }

    /** Whether the partition can do without a machine of so many [cores]. */
    fun canSpare(inputs: ScalingInputs, spot: Boolean, cores: Double): Boolean {
        if (inputs.totalSupplyCores - cores < withHeadroom(inputs.totalDemandCores)) return false
        return spot || inputs.ordinarySupplyCores - cores >= withHeadroom(inputs.ordinaryDemandCores)
    }

    /** As few machines of [type] as have [gapCores] cores; null: there is no gap. */
    private fun covering(gapCores: Double, type: MachineType, spot: Boolean): ScaleOutDecision? {
        val count = ceil(gapCores / type.cores).toInt()
        if (count <= 0) return null
        return ScaleOutDecision(MachineKind(type.name, spot), count, count * type.cores)
    }

    private fun withHeadroom(demandCores: Double): Double = demandCores * (1 + HEADROOM)

    /**
     * What a core costs while it works, for a short stay: its boot and the fetch of an image, in which it does nothing
     * yet, are paid too.
     */
    private fun costPerCore(type: MachineType, price: Double): Double {
        val fetchS = if (type.fetchGbPerS > 0) TYPICAL_IMAGE_GB / type.fetchGbPerS else 0.0
        return price / type.cores * (SHORT_STAY_S + type.bootS + fetchS) / SHORT_STAY_S
    }

    private companion object {
        /** Supply beyond demand, as a share of demand. */
        const val HEADROOM = 0.15

        /** How long a machine works at the least, once it is up. */
        const val SHORT_STAY_S = 60.0
        const val TYPICAL_IMAGE_GB = 2.0
    }
}
