package io.otterknot.records

import io.otterknot.wire.JobSpec
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A job in the store. Its key goes from "running" to one [terminalState] in a transaction that is conditional on the
 * key's version, so done and cancelled exclude each other; what only a running job needs is dropped with the same
 * transaction.
 */
@Serializable
data class JobRecord(
    /** Null in a terminal state. */
    @SerialName("s") val spec: JobSpec? = null,
    /** Which partitions the tasks belong to, in the order of the tasks; empty in a terminal state. */
    @SerialName("a") val spans: List<TaskSpan> = emptyList(),
    /** When it was submitted, by the time of day of the controller that accepted it. */
    @SerialName("t") val submittedMs: Long = 0,
    /** Random; tells a controller whether a job that it finds is the one that it tried to put without an answer. */
    @SerialName("n") val nonce: String? = null,
    /** Null: the job is running. */
    @SerialName("x") val terminalState: TerminalState? = null,
    /** The number of tasks, in a terminal state; otherwise 0, as [spec] has it. */
    @SerialName("c") val taskCount: Int = 0,
    /** The number of [DependencySegmentRecord]s with the jobs that it depends on; null: these are in [spec]. */
    @SerialName("w") val dependencySegments: Int? = null,
    /** When it reached its terminal state, by the time of day of the controller that wrote so. */
    @SerialName("e") val endedMs: Long? = null,
) {
    /** The partition whose leader decides that the job is done. */
    val homeZone: String? get() = spans.firstOrNull()?.zone
}

/** The state of a job that no other can follow. */
@Serializable
enum class TerminalState {
    @SerialName("d")
    DONE,

    @SerialName("a")
    CANCELLED,
}
