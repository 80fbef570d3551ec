package io.otterknot.rebalance

/** What is under way of earlier plans. */
data class OpenMoves(
    val stops: Int = 0,
    val stopsByTeam: Map<String, Int> = emptyMap(),
    val stopsByJob: Map<String, Int> = emptyMap(),
    val stoppingCoresByTeam: Map<String, Double> = emptyMap(),
    /** Tasks being stopped for each job that is to get the room. */
    val stopsForJob: Map<String, Int> = emptyMap(),
    val reassignmentInProgress: Boolean = false,
)
