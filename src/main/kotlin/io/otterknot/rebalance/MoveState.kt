package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How far a move has come. */
@Serializable
enum class MoveState {
    @SerialName("proposed")
    PROPOSED,

    /** The task was commanded to stop, or will be with the next heartbeat response to its machine. */
    @SerialName("stopping")
    STOPPING,

    /** It has left its machine and waits. */
    @SerialName("stopped")
    STOPPED,

    /** It is on a machine again, or belongs to another partition. */
    @SerialName("placed")
    PLACED,

    /** The move failed; the task is an ordinary one again, or finished. */
    @SerialName("abandoned")
    ABANDONED,
    ;

    val isFinal: Boolean get() = this == PLACED || this == ABANDONED
}
