package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings

/** What a second of each kind counts, against a second of waiting. */
data class CostWeights(val fetch: Double, val lostWork: Double) {
    constructor(settings: LoadSpreadSettings) : this(settings.fetchWeight, settings.lostWorkWeight)
}

/** Locality against spread: the cost of a place in seconds, so that a fetch can be weighed against a queue. */
object LocalityCost {
    /** Until the work begins there, in weighted seconds. */
    fun seconds(place: PlaceCost, weights: CostWeights): Double =
        place.waitS + place.moveS + place.image.seconds * weights.fetch +
            (place.stop?.seconds ?: 0.0) * weights.lostWork

    /** What is gained by [there] against [here]; negative: it is better off where it is. */
    fun gain(here: PlaceCost, there: PlaceCost, weights: CostWeights): Double =
        seconds(here, weights) - seconds(there, weights)
}
