package io.otterknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The state of a job as its user sees it. */
@Serializable
data class JobStatus(
    @SerialName("Uid") val id: String,
    @SerialName("Mood") val state: JobState,
    /** How many tasks are done; null: not said, as of a cancelled job. */
    val done: Int? = null,
    /** How many tasks are running; null: not said, as of a cancelled job. */
    val running: Int? = null,
)

/** The states of a job on the wire. */
@Serializable
enum class JobState {
    /** Accepted, but no task runs. */
    @SerialName("queued")
    QUEUED,

    @SerialName("running")
    RUNNING,

    @SerialName("done")
    DONE,

    @SerialName("aborted")
    CANCELLED,
}

/** The body of a response that refuses a request; [error] is a text for the sender. */
@Serializable
data class ErrorResponse(val error: String)
