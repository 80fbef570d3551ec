package io.otterknot.rebalance

/** Moves of earlier plans that are still in progress. */
data class OpenMoves(
    val stops: Int = 0,
    val stopsByTeam: Map<String, Int> = emptyMap(),
    val stopsByJob: Map<String, Int> = emptyMap(),
    val stoppingCoresByTeam: Map<String, Double> = emptyMap(),
    /** Tasks being stopped, by the job that gets the freed capacity. */
    val stopsForJob: Map<String, Int> = emptyMap(),
    val reassignmentInProgress: Boolean = false,
)
