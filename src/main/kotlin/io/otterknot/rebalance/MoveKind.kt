package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a move is executed: waiting tasks are reassigned, or a running task is stopped and placed again. */
@Serializable
enum class MoveKind {
    @SerialName("handover")
    REASSIGNMENT,

    @SerialName("stop")
    STOP,
}
