package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a move deviated from the plan. */
@Serializable
enum class MoveOutcome {
    @SerialName("the task completed first")
    COMPLETED_FIRST,

    @SerialName("the job is over")
    JOB_FINISHED,

    @SerialName("the partition has another owner")
    LEADERSHIP_LOST,

    @SerialName("its machine was lost")
    MACHINE_LOST,

    @SerialName("the task is not where it was")
    TASK_GONE,

    @SerialName("the handover was not carried out")
    NOT_REASSIGNED,

    @SerialName("not placed anew for long")
    NOT_PLACED,
}
