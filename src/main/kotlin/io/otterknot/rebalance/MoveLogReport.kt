package io.otterknot.rebalance

import kotlinx.serialization.Serializable

/** Number of ended moves of one kind, reason, state and outcome. */
@Serializable
data class MoveCount(
    val kind: MoveKind,
    val reason: MoveReason,
    val state: MoveState,
    val outcome: MoveOutcome?,
    val planned: Boolean,
    val moves: Int,
    val tasks: Int,
    val lostCoreS: Double,
)

/** The moves, refusals and waits of one team. */
@Serializable
data class TeamReport(
    val team: String,
    val moves: List<MoveCount>,
    val refused: Map<RefusalReason, Int>,
    /** Task-seconds of waiting by cause. */
    val waits: Map<WaitCause, Double>,
)

/** The load-spread events in the logs of controllers, aggregated by team. */
@Serializable
data class MoveLogReport(
    val events: Int,
    val unreadable: Int,
    val teams: List<TeamReport>,
    val paused: Map<PlanningPauseReason, Int>,
)
