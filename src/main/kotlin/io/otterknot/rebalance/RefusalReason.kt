package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a job or task that was considered is not moved. */
@Serializable
enum class RefusalReason {
    @SerialName("bound to its zone")
    BOUND_TO_ZONE,

    @SerialName("in one zone, and some of it runs")
    PARTLY_PLACED,

    @SerialName("no other partition")
    NO_TARGET,

    @SerialName("gain below the margin")
    GAIN_TOO_SMALL,

    @SerialName("came from elsewhere a moment ago")
    JUST_ARRIVED,

    @SerialName("enough moves under way")
    TOO_MANY_MOVES,

    @SerialName("has not waited long enough")
    WAIT_TOO_SHORT,

    @SerialName("room comes by itself")
    CAPACITY_EXPECTED_SOON,

    @SerialName("nothing that may be stopped makes room")
    NO_STOPPABLE_TASKS,

    @SerialName("lost work beyond the budget")
    LOST_WORK_BUDGET_EXHAUSTED,

    @SerialName("ends soon where it is")
    COMPLETES_SOON,

    @SerialName("was stopped a while ago")
    COOLDOWN,
}
