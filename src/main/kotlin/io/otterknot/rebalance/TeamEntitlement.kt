package io.otterknot.rebalance

/** What the settings promise a team. */
data class TeamEntitlement(val guaranteedCores: Double, val guaranteedGpus: Double, val weight: Double)
