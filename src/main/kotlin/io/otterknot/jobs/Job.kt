package io.otterknot.jobs

import io.otterknot.records.JobRecord
import io.otterknot.records.TerminalState
import io.otterknot.store.Snapshot
import io.otterknot.wire.JobSpec
import java.util.BitSet

/** One job as the replica shows it. Only [JobTable] and [DependencyGraph] change it. */
class Job(val id: String) {
    /** The record and version of the job's own key as last read, or null if it has not been read yet. */
    var snapshot: Snapshot<JobRecord>? = null
        internal set

    /** The tasks whose completion is stored durably; cleared when the job's terminal state is recorded. */
    val completedTasks = BitSet()

    /** The jobs that this one depends on and the state derived from them; see [DependencyGraph]. */
    var dependencies = JobDependencies(emptySet())
        internal set

    val record: JobRecord? get() = snapshot?.value

    /** The specification that the user submitted, or null if it has not been read yet or the job has ended. */
    val spec: JobSpec? get() = record?.spec

    /** The terminal state in the job's record, or null if none is recorded. */
    val recordedTerminalState: TerminalState? get() = record?.terminalState

    /**
     * The recorded terminal state, or `CANCELLED` if the job depends on a cancelled one and so can never run, or null.
     */
    val terminalState: TerminalState?
        get() = recordedTerminalState ?: TerminalState.CANCELLED.takeIf { dependencies.isUnsatisfiable }

    /** Whether the job was accepted and no terminal state is recorded. */
    val isActive: Boolean get() = spec != null && recordedTerminalState == null

    /** Whether all tasks are durably completed; false once the job has a terminal state. */
    val isComplete: Boolean
        get() = terminalState == null && spec?.let { completedTasks.cardinality() >= it.tasks } ?: false

    /** The terminal state that follows from the stored data but is not recorded yet, or null if there is none. */
    val unrecordedTerminalState: TerminalState?
        get() = when {
            !isActive -> null
            dependencies.isUnsatisfiable -> TerminalState.CANCELLED
            isComplete -> TerminalState.DONE
            else -> null
        }

    /** Whether every job that this one depends on is durably done. Once true, it stays true. */
    val isReady: Boolean get() = dependencies.unmetCount == 0 && !dependencies.isUnsatisfiable

    /** Since when the job has been able to run, in milliseconds of wall-clock time. */
    val readyMs: Long get() = maxOf(record?.submittedMs ?: 0, dependencies.satisfiedMs)
}
