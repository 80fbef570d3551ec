package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why planning is paused for a partition. */
@Serializable
enum class PlanningPauseReason {
    @SerialName("not its owner now")
    NOT_LEADER,

    @SerialName("in doubt after a claim")
    UNRECONCILED,

    @SerialName("the state service does not answer")
    STORE_UNAVAILABLE,

    @SerialName("this controller is short of processor")
    CONTROLLER_OVERLOADED,
}
