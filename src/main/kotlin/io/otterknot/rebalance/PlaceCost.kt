package io.otterknot.rebalance

/** The cost of an image at one place: whether it is present, its size and its fetch rate. */
data class ImageCost(
    val isPresent: Boolean,
    val imageGb: Double,
    val fetchGbPerS: Double,
    /** Ratio of measured fetch times to those expected at [fetchGbPerS]. */
    val measuredFactor: Double = 1.0,
    /** Number of concurrent fetches that share the rate, including this one. */
    val concurrentFetches: Int = 1,
) {
    val seconds: Double get() =
        if (isPresent || fetchGbPerS <= 0) 0.0 else imageGb / fetchGbPerS * measuredFactor * maxOf(1, concurrentFetches)
}

/** The cost of stopping a running task. */
data class StopCost(
    val elapsedS: Double,
    /** Interval of progress between checkpoints; 0 if the task makes no checkpoints. */
    val checkpointS: Double,
    /** Time to write a checkpoint when the task is stopped. */
    val saveS: Double,
) {
    /** Seconds lost: the time to write a checkpoint, or all progress of a task without checkpoints. */
    val seconds: Double get() = if (checkpointS > 0) saveS else elapsedS
}

/** The costs of running a task at one place: wait, image fetch, and the move there. */
data class PlaceCost(
    val waitS: Double,
    val image: ImageCost,
    val moveS: Double = 0.0,
    /** Cost of stopping the task, or null if it does not run yet. */
    val stop: StopCost? = null,
)
