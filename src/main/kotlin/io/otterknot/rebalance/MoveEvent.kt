package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A load-spread event in a controller's log. Its JSON is a stable format, which `otterknot moves` parses. */
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
        /** Number of tasks moved. */
        val tasks: Int,
        val target: String? = null,
        val beneficiary: String? = null,
        val lostCoreS: Double = 0.0,
        val outcome: MoveOutcome? = null,
        val tookMs: Long? = null,
        /** Whether the move was only planned because load spread runs in observe mode. */
        val planned: Boolean = false,
    ) : MoveEvent

    /** Refusals, pauses and waits since the last summary. */
    @Serializable
    @SerialName("summary")
    data class Summary(
        val zone: String,
        val seconds: Double,
        /** By team: number of refused moves of its jobs, by reason. */
        val refused: Map<String, Map<RefusalReason, Int>> = emptyMap(),
        /** Number of planning rounds skipped, by reason. */
        val paused: Map<PlanningPauseReason, Int> = emptyMap(),
        /** By team: task-seconds of waiting by cause. */
        val waits: Map<String, Map<WaitCause, Double>> = emptyMap(),
    ) : MoveEvent
}
