package io.otterknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** The report of a worker: the machine, its session and every task on it. */
@Serializable
// The name stands in the text of a refusal, which is part of the wire format.
@SerialName("io.otterknot.wire.Report")
data class Heartbeat(
    @SerialName("Holt") val machine: String,
    @SerialName("Endpoint") val endpoint: String = "",
    @SerialName("Breed") val type: String,
    @SerialName("Reach") val zone: String,
    @SerialName("Driftwood") val spot: Boolean = false,
    @SerialName("Dive") val epoch: Long,
    @SerialName("Ripple") val sequence: Long,
    @SerialName("Warrant") val fencingToken: Long = 0,
    @SerialName("WarningS") val spotNoticeS: Double? = null,
    @SerialName("Chores") val tasks: List<TaskStatus> = emptyList(),
) {
    /** The message with the larger session and number is the newer one. */
    fun isNewerThan(otherSession: Long, otherSeq: Long): Boolean =
        epoch > otherSession || (epoch == otherSession && sequence > otherSeq)
}

@Serializable
data class TaskStatus(
    @SerialName("Chore") val task: String,
    @SerialName("Try") val attempt: Long,
    @SerialName("Mood") val state: String,
    @SerialName("Cause") val cause: String? = null,
    @SerialName("Saved") val saved: Boolean? = null,
)

@Serializable
data class Command(
    @SerialName("Call") val op: String,
    @SerialName("Chore") val task: String,
    @SerialName("Try") val attempt: Long,
    @SerialName("LeewayS") val graceS: Double? = null,
) {
    companion object {
        fun start(task: String, attempt: Long) = Command("start", task, attempt)
        fun halt(task: String, attempt: Long, graceS: Double) = Command("halt", task, attempt, graceS)
        fun forget(task: String, attempt: Long) = Command("forget", task, attempt)
    }
}

@Serializable
data class HeartbeatResponse(
    @SerialName("Warrant") val fencingToken: Long,
    @SerialName("Calls") val commands: List<Command>,
)

@Serializable
data class LeaderRedirect(@SerialName("AnswerTo") val leader: String? = null)

/** A task's name on the wire is its job's id and its number. */
data class TaskName(val job: String, val number: Int) {
    override fun toString() = "$job/$number"

    companion object {
        fun parse(text: String): TaskName {
            val slash = text.indexOf('/')
            val number = if (slash > 0) text.substring(slash + 1).toIntOrNull() else null
            if (number == null || number !in 0 until MAX_TASKS) throw MalformedMessageException("Chore is not a task")
            return TaskName(text.substring(0, slash), number)
        }
    }
}

object TaskState {
    const val FETCHING = "fetching"
    const val RUNNING = "running"
    const val SAVING = "saving"
    const val EXITED = "exited"
    val all = setOf(FETCHING, RUNNING, SAVING, EXITED)
}

object ExitCause {
    const val DONE = "done"
    const val ERROR = "error"
}

fun parseHeartbeat(body: ByteArray): Heartbeat {
    val report = try {
        WireJson.decodeFromString(Heartbeat.serializer(), body.decodeToString())
    } catch (e: SerializationException) {
        throw MalformedMessageException("not a report: ${e.message?.lineSequence()?.first()}")
    } catch (e: IllegalArgumentException) {
        throw MalformedMessageException("not a report")
    }
    if (report.machine.isEmpty() || report.epoch < 1 || report.sequence < 0 || report.fencingToken < 0) {
        throw MalformedMessageException("Holt, Dive, Ripple or Warrant out of range")
    }
    for (task in report.tasks) {
        TaskName.parse(task.task)
        if (task.state !in TaskState.all) throw MalformedMessageException("Mood of a task is unknown")
    }
    return report
}
