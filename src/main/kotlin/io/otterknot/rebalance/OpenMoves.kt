package io.otterknot.rebalance

/** Moves of earlier plans that are still in progress. */
data class OpenMoves(
    val stops: Int = 0,
    val stopsByTeam: Map<String, Int> = emptyMap(),
    val stopsByJob: Map<String, Int> = emptyMap(),
    val stoppingCoresByTeam: Map<String, Double> = emptyMap(),
    /** Number of tasks being stopped, by the job for which capacity is freed. */
    val stopsForJob: Map<String, Int> = emptyMap(),
    val reassignmentInProgress: Boolean = false,
)
