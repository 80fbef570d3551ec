package io.otterknot.rebalance

import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec

/** The pressure on one partition: as its leader sees it, or as that leader has published it. */
data class PartitionPressure(
    val zone: String,
    /** What machines that take work have there. */
    val capacity: Resources,
    val ordinaryCores: Double,
    /** The mean of the loads, what waits included; and that of ordinary machines alone. */
    val mean: Double,
    val ordinaryMean: Double,
    /** How long tasks run there; null: not known. */
    val meanRunS: Double?,
    val fetchFactor: Double = 1.0,
    /** Images that many machines there have. */
    val images: Set<String> = emptySet(),
    /** By team; null: the leader runs a version that publishes only the mean. */
    val teams: Map<String, TeamPressure>? = null,
) {
    fun meanFor(spec: JobSpec): Double = if (spec.spot) mean else maxOf(ordinaryMean, 0.0)

    fun coresFor(spec: JobSpec): Double = maxOf(if (spec.spot) capacity.cores else ordinaryCores, 1.0)

    /** The image of a job on a machine here that fetches at [fetchGbPerS] nominally. */
    fun imageCost(spec: JobSpec, fetchGbPerS: Double) =
        ImageCost(spec.image in images, spec.imageGb, fetchGbPerS, measuredFactor = fetchFactor)
}
