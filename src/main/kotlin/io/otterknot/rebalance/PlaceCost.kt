package io.otterknot.rebalance

/** The image of some work, at one place: how large it is, how fast it would come, and whether it is there. */
data class ImageCost(
    val isPresent: Boolean,
    val imageGb: Double,
    val fetchGbPerS: Double,
    /** How many times as long as by that rate fetches take there, as measured. */
    val measuredFactor: Double = 1.0,
    /** How many images are fetched at the same time and share the rate, this one included. */
    val concurrentFetches: Int = 1,
) {
    val seconds: Double get() =
        if (isPresent || fetchGbPerS <= 0) 0.0 else imageGb / fetchGbPerS * measuredFactor * maxOf(1, concurrentFetches)
}

/** What stopping a running task would throw away. */
data class StopCost(
    val elapsedS: Double,
    /** The interval of progress after which it saves by itself; 0: it never saves. */
    val checkpointS: Double,
    /** How long it takes to save when it is stopped. */
    val saveS: Double,
) {
    /** Seconds of progress that are repeated elsewhere, and those that it takes to save. */
    val seconds: Double get() = if (checkpointS > 0) saveS else elapsedS
}

/** One place for some work: how long it waits there, what its image costs, and what it takes to get there. */
data class PlaceCost(
    val waitS: Double,
    val image: ImageCost,
    val moveS: Double = 0.0,
    /** Null: it does not run anywhere yet. */
    val stop: StopCost? = null,
)
