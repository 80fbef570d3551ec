package io.otterknot.rebalance

import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec

/** The load and team usage of one partition, from its own state if led here, else as published by its leader. */
data class PartitionPressure(
    val zone: String,
    /** Total capacity of the machines that accept tasks. */
    val capacity: Resources,
    val ordinaryCores: Double,
    /** Mean load including waiting tasks; [ordinaryMean] is that of machines that are not spot instances. */
    val mean: Double,
    val ordinaryMean: Double,
    /** Mean run time of tasks in seconds, or null if unknown. */
    val meanRunS: Double?,
    val fetchFactor: Double = 1.0,
    /** Images that many machines of the partition have. */
    val images: Set<String> = emptySet(),
    /** Pressure by team, or null if the leader runs a version that publishes only the mean load. */
    val teams: Map<String, TeamPressure>? = null,
) {
    fun meanFor(spec: JobSpec): Double = if (spec.spot) mean else maxOf(ordinaryMean, 0.0)

    fun coresFor(spec: JobSpec): Double = maxOf(if (spec.spot) capacity.cores else ordinaryCores, 1.0)

    /** Returns the image cost of a job on a machine here with a nominal fetch rate of [fetchGbPerS]. */
    fun imageCost(spec: JobSpec, fetchGbPerS: Double) =
        ImageCost(spec.image in images, spec.imageGb, fetchGbPerS, measuredFactor = fetchFactor)
}
