package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One load-spread line of a controller's log; its JSON is a format that `otterknot moves` reads. */
@Serializable
sealed interface MoveEvent {
    /** A move has ended. */
    @Serializable
    @SerialName("move")
    data class Ended(
        val zone: String,
        val team: String,
        val job: String,
        val kind: MoveKind,
        val state: MoveState,
        val reason: MoveReason,
        val gainS: Double,
        /** How many tasks were moved. */
        val tasks: Int,
        val target: String? = null,
        val beneficiary: String? = null,
        val lostCoreS: Double = 0.0,
        val outcome: MoveOutcome? = null,
        val tookMs: Long? = null,
        /** Whether it was only planned, since load spread observes. */
        val planned: Boolean = false,
    ) : MoveEvent

    /** Refusals, pauses and waits since the last summary. */
    @Serializable
    @SerialName("summary")
    data class Summary(
        val zone: String,
        val seconds: Double,
        /** By team: how often a move of one of its jobs was refused, by reason. */
        val refused: Map<String, Map<RefusalReason, Int>> = emptyMap(),
        /** How many plans were not made, by reason. */
        val paused: Map<PlanningPauseReason, Int> = emptyMap(),
        /** By team: task-seconds of waiting, by cause. */
        val waits: Map<String, Map<WaitCause, Double>> = emptyMap(),
    ) : MoveEvent
}
