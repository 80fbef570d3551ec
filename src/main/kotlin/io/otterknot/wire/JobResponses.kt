package io.otterknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The status of a job as it is reported to users. */
@Serializable
data class JobStatus(
    @SerialName("Uid") val id: String,
    @SerialName("Mood") val state: JobState,
    /** The number of tasks that are done, or null if it is not reported, as for a cancelled job. */
    val done: Int? = null,
    /** The number of tasks that are running, or null if it is not reported, as for a cancelled job. */
    val running: Int? = null,
)

/** The states of a job on the wire. */
@Serializable
enum class JobState {
    /** Accepted, but no task is running. */
    @SerialName("queued")
    QUEUED,

    @SerialName("running")
    RUNNING,

    @SerialName("done")
    DONE,

    @SerialName("aborted")
    CANCELLED,
}

/** The body of a response that refuses a request; [error] describes the reason to the sender. */
@Serializable
data class ErrorResponse(val error: String)
