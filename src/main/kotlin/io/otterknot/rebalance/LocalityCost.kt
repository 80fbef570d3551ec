package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings

/** Weights of a second of image fetch and a second of lost work, relative to a second of waiting. */
data class CostWeights(val fetch: Double, val lostWork: Double) {
    constructor(settings: LoadSpreadSettings) : this(settings.fetchWeight, settings.lostWorkWeight)
}

/** Expresses the cost of running at a place in seconds, so that an image fetch can be compared with a queue. */
object LocalityCost {
    /** Returns the weighted seconds until the work starts at [place], plus the weighted work lost by the move. */
    fun seconds(place: PlaceCost, weights: CostWeights): Double =
        place.waitS + place.moveS + place.image.seconds * weights.fetch +
            (place.stop?.seconds ?: 0.0) * weights.lostWork

    /** Returns the weighted seconds gained by moving from [here] to [there]; negative if staying is better. */
    fun gain(here: PlaceCost, there: PlaceCost, weights: CostWeights): Double =
        seconds(here, weights) - seconds(there, weights)
}
