package io.otterknot.rebalance

/** Guaranteed quota and fair-share weight of a team, from the settings. */
data class TeamEntitlement(val guaranteedCores: Double, val guaranteedGpus: Double, val weight: Double)
