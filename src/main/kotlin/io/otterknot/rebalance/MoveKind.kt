package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a move is carried out: waiting tasks are reassigned, a running task is stopped and placed anew. */
@Serializable
enum class MoveKind {
    @SerialName("handover")
    REASSIGNMENT,

    @SerialName("stop")
    STOP,
}
