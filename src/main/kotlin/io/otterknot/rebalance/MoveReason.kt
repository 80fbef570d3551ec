package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why work is moved. */
@Serializable
enum class MoveReason {
    /** It would wait less elsewhere, by more than the move costs. */
    @SerialName("shorter wait")
    SHORTER_WAIT,

    /** It has waited for long, and another partition has room. */
    @SerialName("overdue")
    OVERDUE,

    /** It makes room for work within another team's guarantee. */
    @SerialName("guarantee")
    GUARANTEE,

    /** Its machine is being emptied, and it ends sooner elsewhere. */
    @SerialName("drain")
    DRAIN,
}
