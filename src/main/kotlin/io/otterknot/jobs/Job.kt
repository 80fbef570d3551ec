package io.otterknot.jobs

import io.otterknot.records.JobRecord
import io.otterknot.records.TerminalState
import io.otterknot.store.Snapshot
import io.otterknot.wire.JobSpec
import java.util.BitSet

/** One job as the replica shows it. Only [JobTable] and [DependencyGraph] change it. */
class Job(val id: String) {
    /** The job's own key as last read, record and version together; null: not read yet. */
    var snapshot: Snapshot<JobRecord>? = null
        internal set

    /** The tasks whose completion is durable; empty again once the job's terminal state is recorded. */
    val completedTasks = BitSet()

    /** The jobs that this one depends on, and what follows from them; see [DependencyGraph]. */
    var dependencies = JobDependencies(emptySet())
        internal set

    val record: JobRecord? get() = snapshot?.value

    /** What the user submitted; null: not read yet, or dropped since the job has ended. */
    val spec: JobSpec? get() = record?.spec

    /** The terminal state in the job's record; null: none is recorded. */
    val recordedTerminalState: TerminalState? get() = record?.terminalState

    /** The terminal state, recorded or already certain: a job that depends on a cancelled one can never run. */
    val terminalState: TerminalState?
        get() = recordedTerminalState ?: TerminalState.CANCELLED.takeIf { dependencies.isUnsatisfiable }

    /** Whether the job was accepted and no terminal state is recorded. */
    val isActive: Boolean get() = spec != null && recordedTerminalState == null

    /** Whether all tasks are durably done; false once the job has a terminal state. */
    val isComplete: Boolean
        get() = terminalState == null && spec?.let { completedTasks.cardinality() >= it.tasks } ?: false

    /** The terminal state that follows from what is durable but is not recorded yet; null: there is none. */
    val unrecordedTerminalState: TerminalState?
        get() = when {
            !isActive -> null
            dependencies.isUnsatisfiable -> TerminalState.CANCELLED
            isComplete -> TerminalState.DONE
            else -> null
        }

    /** Whether every job that this one depends on is durably done. Never turns false again. */
    val isReady: Boolean get() = dependencies.unmetCount == 0 && !dependencies.isUnsatisfiable

    /** Since when the job could run, in milliseconds of wall-clock time. */
    val readyMs: Long get() = maxOf(record?.submittedMs ?: 0, dependencies.satisfiedMs)
}
