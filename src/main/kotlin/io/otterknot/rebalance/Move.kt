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

/** Why work is not moved that could be. */
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

/** Why no plan is made for a partition. */
@Serializable
enum class PlanningPauseReason {
    @SerialName("not its owner now")
    NOT_LEADER,

    @SerialName("in doubt after a claim")
    IN_DOUBT,

    @SerialName("the state service does not answer")
    STORE_UNAVAILABLE,

    @SerialName("this controller is short of processor")
    CONTROLLER_OVERLOADED,
}

/** Something that is to be moved. */
sealed interface Move {
    val zone: String
    val team: String
    val job: String
    val reason: MoveReason
    val gainS: Double

    /** So many waiting tasks of [job] go to the partition of [target]. */
    data class Reassignment(
        override val zone: String,
        override val team: String,
        override val job: String,
        override val reason: MoveReason,
        override val gainS: Double,
        /** Cores that the tasks to be moved take together; all of a job's, if it has to be in one zone. */
        val cores: Double,
        val target: String,
    ) : Move

    /** The running [task] of [job] is stopped, so that it is placed anew. */
    data class Stop(
        override val zone: String,
        override val team: String,
        override val job: String,
        override val reason: MoveReason,
        override val gainS: Double,
        val task: Int,
        val attempt: Long,
        val machine: String,
        val cores: Double,
        /** Core-seconds that are thrown away. */
        val lostCoreS: Double,
        /** The job that gets the room; null: none in particular. */
        val beneficiary: String?,
    ) : Move
}

/** Something that was looked at and is not moved. */
data class MoveRefusal(val team: String, val job: String, val reason: RefusalReason)

/** What a plan comes to. */
class MovePlan(val moves: List<Move>, val refusals: List<MoveRefusal>) {
    companion object {
        val EMPTY = MovePlan(emptyList(), emptyList())
    }
}
