package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why work is moved. */
@Serializable
enum class MoveReason {
    /** It would wait less elsewhere, by more than the move costs. */
    @SerialName("shorter wait")
    SHORTER_WAIT,

    /** It has waited long, and another partition has capacity. */
    @SerialName("overdue")
    OVERDUE,

    /** It frees capacity for work within another team's guarantee. */
    @SerialName("guarantee")
    GUARANTEE,

    /** Its machine is draining, and it completes sooner elsewhere. */
    @SerialName("drain")
    DRAIN,
}
