package io.otterknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** What a worker reports to `POST /v1/report` every few seconds: its machine, its epoch and all tasks on it. */
@Serializable
// Error messages for malformed heartbeats contain this serial name, so it is part of the wire format.
@SerialName("io.otterknot.wire.Report")
data class Heartbeat(
    @SerialName("Holt") val machine: String,
    /** Host and port on which the worker listens. */
    @SerialName("Endpoint") val endpoint: String = "",
    /** Name of the [MachineType]. */
    @SerialName("Breed") val type: String,
    @SerialName("Reach") val zone: String,
    @SerialName("Driftwood") val spot: Boolean = false,
    /** Increases each time the worker's lease expires. */
    @SerialName("Dive") val epoch: Long,
    /** Increases with each heartbeat of an epoch. */
    @SerialName("Ripple") val sequence: Long,
    /** The highest fencing token that the worker has seen; it drops responses with a lower one. */
    @SerialName("Warrant") val fencingToken: Long = 0,
    /** Seconds until the cloud revokes this spot machine, or null if it has not announced a revocation. */
    @SerialName("WarningS") val spotNoticeS: Double? = null,
    @SerialName("Chores") val tasks: List<TaskStatus> = emptyList(),
) {
    /** Whether the worker sent this heartbeat after the one with [otherEpoch] and [otherSequence]. */
    fun isNewerThan(otherEpoch: Long, otherSequence: Long): Boolean =
        epoch > otherEpoch || (epoch == otherEpoch && sequence > otherSequence)
}

/** The status of one task on a machine, as its worker reports it. */
@Serializable
data class TaskStatus(
    /** A [TaskName]. */
    @SerialName("Chore") val task: String,
    @SerialName("Try") val attempt: Long,
    @SerialName("Mood") val state: TaskState,
    /** Why the task has exited, or null if it has not exited or the worker reports no cause. */
    @SerialName("Cause") val cause: ExitCause? = null,
    /** Whether a checkpoint was written before the task was stopped, or null if the worker does not report it. */
    @SerialName("Saved") val saved: Boolean? = null,
)

/** The state of a task on its machine. */
@Serializable(with = TaskStateSerializer::class)
enum class TaskState(override val wireName: String) : WireEnum {
    /** The machine is pulling the image of the task. */
    FETCHING("fetching"),

    RUNNING("running"),

    /** The task is writing a checkpoint before it stops. */
    SAVING("saving"),

    /** The task has ended, see [TaskStatus.cause]. */
    EXITED("exited"),

    /** Any other string; [parseHeartbeat] refuses it. */
    UNRECOGNIZED("unrecognized"),
}

internal object TaskStateSerializer : WireEnumSerializer<TaskState>(
    "io.otterknot.wire.TaskState",
    TaskState.entries,
    unrecognized = TaskState.UNRECOGNIZED,
)

/** Why a task has exited. */
@Serializable(with = ExitCauseSerializer::class)
enum class ExitCause(override val wireName: String) : WireEnum {
    DONE("done"),

    /** Stopped by a command. */
    STOPPED("stopped"),

    /** The task itself failed. */
    ERROR("error"),

    /** The worker refused the start because the machine did not have enough free resources. */
    NO_ROOM("no_room"),

    /** The worker refused the start because another attempt of the task was still on the machine. */
    BUSY("busy"),

    /** The worker refused the start because it found no such job or task. */
    UNKNOWN("unknown"),

    /** Any other string, which a later version of the worker may send; treated as an exit without a result. */
    UNRECOGNIZED("unrecognized"),
}

internal object ExitCauseSerializer : WireEnumSerializer<ExitCause>(
    "io.otterknot.wire.ExitCause",
    ExitCause.entries,
    unrecognized = ExitCause.UNRECOGNIZED,
)

/** The response to a [Heartbeat]; the worker ignores it if it has seen a higher fencing token than [fencingToken]. */
@Serializable
data class HeartbeatResponse(
    @SerialName("Warrant") val fencingToken: Long,
    @SerialName("Calls") val commands: List<HeartbeatCommand>,
)

/** A command to a worker about one attempt of a task. */
@Serializable
data class HeartbeatCommand(
    @SerialName("Call") val op: CommandOperation,
    /** A [TaskName]. */
    @SerialName("Chore") val task: String,
    @SerialName("Try") val attempt: Long,
    /** Seconds that the task may use to write a checkpoint; set only for [CommandOperation.HALT], null otherwise. */
    @SerialName("LeewayS") val graceS: Double? = null,
) {
    companion object {
        fun start(task: String, attempt: Long) = HeartbeatCommand(CommandOperation.START, task, attempt)

        fun halt(task: String, attempt: Long, graceS: Double) =
            HeartbeatCommand(CommandOperation.HALT, task, attempt, graceS)

        fun forget(task: String, attempt: Long) = HeartbeatCommand(CommandOperation.FORGET, task, attempt)
    }
}

/** The operation of a [HeartbeatCommand]. */
@Serializable
enum class CommandOperation {
    @SerialName("start")
    START,

    @SerialName("halt")
    HALT,

    /** Omit an exited task from later heartbeats. */
    @SerialName("forget")
    FORGET,
}

/** The body of a response with status 421 to a worker: the controller that leads its partition. */
@Serializable
data class LeaderRedirect(@SerialName("AnswerTo") val leader: String? = null)

/**
 * Decodes a heartbeat and checks the length of its names, its number ranges, task names and task states.
 *
 * @throws MalformedMessageException if the body cannot be decoded or a check fails; its message is sent to the worker
 */
fun parseHeartbeat(body: ByteArray): Heartbeat {
    val heartbeat = decodeHeartbeat(body)
    heartbeat.findIdentityProblem()?.let { throw MalformedMessageException(it) }
    for (status in heartbeat.tasks) {
        TaskName.parse(status.task)
        if (status.state == TaskState.UNRECOGNIZED) throw MalformedMessageException("Mood of a task is unknown")
    }
    return heartbeat
}

private fun decodeHeartbeat(body: ByteArray): Heartbeat = try {
    WireJson.decodeFromString(Heartbeat.serializer(), body.decodeToString())
} catch (e: IllegalArgumentException) {
    throw MalformedMessageException(describeDecodingFailure(e))
}

private fun describeDecodingFailure(failure: IllegalArgumentException): String = when (failure) {
    is SerializationException -> "not a report: ${failure.message?.lineSequence()?.first()}"
    else -> "not a report"
}

/** Returns what is wrong with the names and numbers of the heartbeat itself, or null if nothing is. */
private fun Heartbeat.findIdentityProblem(): String? {
    val longestName = maxOf(machine.length, endpoint.length, type.length, zone.length)
    val isInRange = machine.isNotEmpty() && epoch >= 1 && sequence >= 0 && fencingToken >= 0
    return when {
        longestName > MAX_TEXT_LENGTH -> "Holt, Endpoint, Breed or Reach is too long"
        !isInRange -> "Holt, Dive, Ripple or Warrant out of range"
        else -> null
    }
}
