package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why work is moved. */
@Serializable
enum class MoveReason {
    /** The wait in another partition is shorter, by at least the margin after the cost of the move. */
    @SerialName("shorter wait")
    SHORTER_WAIT,

    /** The job has waited long, and another partition has capacity. */
    @SerialName("overdue")
    OVERDUE,

    /** The stop frees capacity for work within another team's guarantee. */
    @SerialName("guarantee")
    GUARANTEE,

    /** The machine is draining, and the task completes sooner on another one. */
    @SerialName("drain")
    DRAIN,
}
