package io.otterknot.autoscaling

import io.otterknot.wire.MachineType
import kotlin.math.ceil

/**
 * Decides how many machines to add and which can be spared, so that supply covers demand (see [DemandMeter]) plus a
 * headroom. Spot instances are added for all work that may run on them, ordinary machines for work that may not, and
 * also for other work if no spot instance is available. The number of machines is bounded by demand, which the teams'
 * quota limits bound, and by the capacity of the cloud.
 */
class ScalingPolicy {
    /** Returns the machines to add in [zone]. Kinds that satisfy [isExhausted] are not available at present. */
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
        val forOrdinaryWork = ordinary?.let { decisionForGap(ordinaryGap, it, spot = false) }

        val gap = withHeadroom(inputs.totalDemandCores) - inputs.totalSupplyCores - (forOrdinaryWork?.cores ?: 0.0)
        val spot = offered.filterNot { isExhausted(MachineKind(it.name, spot = true)) }
            .minByOrNull { costPerCore(it, it.spotPrice) }
        if (spot != null) return listOfNotNull(forOrdinaryWork, decisionForGap(gap, spot, spot = true))
        if (forOrdinaryWork != null) return listOf(forOrdinaryWork)
        // No spot instance is available. Ordinary machines cost more, but without them the work would wait.
        return listOfNotNull(ordinary?.let { decisionForGap(gap, it, spot = false) })
    }

    /** Whether supply still covers demand and headroom without a machine of [cores] cores. */
    fun canSpare(inputs: ScalingInputs, spot: Boolean, cores: Double): Boolean {
        if (inputs.totalSupplyCores - cores < withHeadroom(inputs.totalDemandCores)) return false
        return spot || inputs.ordinarySupplyCores - cores >= withHeadroom(inputs.ordinaryDemandCores)
    }

    /** Returns the smallest number of machines of [type] that have [gapCores] cores, or null if there is no gap. */
    private fun decisionForGap(gapCores: Double, type: MachineType, spot: Boolean): ScaleOutDecision? {
        val count = ceil(gapCores / type.cores).toInt()
        if (count <= 0) return null
        return ScaleOutDecision(MachineKind(type.name, spot), count, count * type.cores)
    }

    private fun withHeadroom(demandCores: Double): Double = demandCores * (1 + HEADROOM)

    /**
     * Returns the cost of a core per unit of useful time if the machine is used for [MIN_USE_S]. The machine is also
     * paid for while it boots and fetches an image, before it runs tasks.
     */
    private fun costPerCore(type: MachineType, price: Double): Double {
        val fetchS = if (type.fetchGbPerS > 0) TYPICAL_IMAGE_GB / type.fetchGbPerS else 0.0
        return price / type.cores * (MIN_USE_S + type.bootS + fetchS) / MIN_USE_S
    }

    private companion object {
        /** Supply beyond demand, as a share of demand. */
        const val HEADROOM = 0.15

        /** Assumed minimum time for which a machine is used after it has booted and fetched an image. */
        const val MIN_USE_S = 60.0
        const val TYPICAL_IMAGE_GB = 2.0
    }
}
