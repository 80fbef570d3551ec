package io.otterknot.rebalance

/** What the settings promise a team. */
data class TeamEntitlement(val guaranteedCores: Double, val guaranteedCards: Double, val weight: Double)
