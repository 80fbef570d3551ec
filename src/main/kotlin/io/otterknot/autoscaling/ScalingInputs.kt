package io.otterknot.autoscaling

/**
 * What a partition needs and what it has, in cores. Ordinary machines are those that are not spot instances; ordinary
 * demand is that of tasks, waiting or active, that must not run on spot instances. The totals include it.
 */
class ScalingInputs(
    val ordinaryDemandCores: Double,
    val totalDemandCores: Double,
    val ordinarySupplyCores: Double,
    val totalSupplyCores: Double,
) {
    /** The inputs once a machine of so many [cores] has been scaled in. */
    fun without(spot: Boolean, cores: Double) = ScalingInputs(
        ordinaryDemandCores,
        totalDemandCores,
        if (spot) ordinarySupplyCores else ordinarySupplyCores - cores,
        totalSupplyCores - cores,
    )
}
