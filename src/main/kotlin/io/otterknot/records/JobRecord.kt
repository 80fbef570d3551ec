package io.otterknot.records

import io.otterknot.wire.JobSpec
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A job in the store. It changes from running to one [terminalState] in a transaction that is conditional on the
 * version of its key, so a job cannot be both done and cancelled. The same transaction drops the data that only a
 * running job needs.
 */
@Serializable
data class JobRecord(
    /** Null in a terminal state. */
    @SerialName("s") val spec: JobSpec? = null,
    /** The partitions to which the tasks belong, in the order of the tasks; empty in a terminal state. */
    @SerialName("a") val spans: List<TaskSpan> = emptyList(),
    /** When the job was submitted, by the wall clock of the controller that accepted it. */
    @SerialName("t") val submittedMs: Long = 0,
    /**
     * A random value. When a controller gets no answer to the transaction that puts a job, it compares the value with
     * that of the stored job to determine whether the stored job is its own.
     */
    @SerialName("n") val nonce: String? = null,
    /** The terminal state, or null while the job is running. */
    @SerialName("x") val terminalState: TerminalState? = null,
    /** The number of tasks in a terminal state; 0 while the job is running, as [spec] contains the number. */
    @SerialName("c") val taskCount: Int = 0,
    /** The number of [DependencySegmentRecord]s of the job, or null if [spec] lists its dependencies. */
    @SerialName("w") val dependencySegments: Int? = null,
    /** When the job reached its terminal state, by the wall clock of the controller that wrote the state. */
    @SerialName("e") val endedMs: Long? = null,
) {
    /** The zone of the partition whose leader determines that the job is done; null in a terminal state. */
    val homeZone: String? get() = spans.firstOrNull()?.zone
}

/** A state of a job that does not change any more. */
@Serializable
enum class TerminalState {
    @SerialName("d")
    DONE,

    @SerialName("a")
    CANCELLED,
}
