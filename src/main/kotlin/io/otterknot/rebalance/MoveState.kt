package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Progress of a move. */
@Serializable
enum class MoveState {
    @SerialName("proposed")
    PROPOSED,

    /** The stop command was sent to the machine, or will be in the next heartbeat response. */
    @SerialName("stopping")
    STOPPING,

    /** The task no longer occupies its machine and waits to be placed. */
    @SerialName("stopped")
    STOPPED,

    /** The task is assigned to a machine again, or belongs to another partition. */
    @SerialName("placed")
    PLACED,

    /** The move failed or is no longer tracked; the task completed or is scheduled like any other. */
    @SerialName("abandoned")
    ABANDONED,
    ;

    val isFinal: Boolean get() = this == PLACED || this == ABANDONED
}
