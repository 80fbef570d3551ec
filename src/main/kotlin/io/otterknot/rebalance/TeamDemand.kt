package io.otterknot.rebalance

/**
 * What one team asks of a cluster, as shares of it: [demand] is the dominant share of all that it runs and waits for,
 * [guaranteed] what it is promised, [weight] how it counts against others beyond that.
 */
data class TeamDemand(val team: String, val demand: Double, val guaranteed: Double, val weight: Double)
