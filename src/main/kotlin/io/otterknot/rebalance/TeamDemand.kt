package io.otterknot.rebalance

/**
 * The demand of one team, in shares of the cluster: [demand] is the dominant share of its running and waiting work,
 * [guaranteed] that of its guaranteed quota; [weight] is its weight in the division of the remaining capacity.
 */
data class TeamDemand(val team: String, val demand: Double, val guaranteed: Double, val weight: Double)
