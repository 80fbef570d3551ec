package io.otterknot.autoscaling

/**
 * Demand and supply of a partition, in cores. Ordinary machines are machines that are not spot instances. Ordinary
 * demand is that of pending and active tasks that must not run on spot instances. The totals include ordinary values.
 */
class ScalingInputs(
    val ordinaryDemandCores: Double,
    val totalDemandCores: Double,
    val ordinarySupplyCores: Double,
    val totalSupplyCores: Double,
) {
    /** Returns the inputs that result from scaling in one machine of [cores] cores. */
    fun without(spot: Boolean, cores: Double) = ScalingInputs(
        ordinaryDemandCores,
        totalDemandCores,
        if (spot) ordinarySupplyCores else ordinarySupplyCores - cores,
        totalSupplyCores - cores,
    )
}
