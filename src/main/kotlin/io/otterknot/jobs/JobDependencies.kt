package io.otterknot.jobs

import io.otterknot.wire.Priority

/** The jobs that a job depends on, and the priority and due time that it inherits from the jobs that depend on it. */
class JobDependencies(val jobIds: Set<String>) {
    /** How many of [jobIds] are not durably done; 1 while the list of dependencies has not been read completely. */
    var unmetCount = jobIds.size
        internal set

    /** Whether a job that this one depends on, directly or through others, is cancelled, so that it can never run. */
    var isUnsatisfiable = false
        internal set

    /** When the last of the done dependencies ended, in milliseconds of wall-clock time, or 0 if none is done. */
    var satisfiedMs = 0L
        internal set

    /** The most urgent priority of the jobs that depend on this one, or null if no job does. */
    var inheritedPriority: Priority? = null
        internal set

    /** When the job must be complete for its dependents, by the wall clock, or null if none of them has a due time. */
    var inheritedDueMs: Long? = null
        internal set

    /** Records that [dependency], one of [jobIds], is durably done. */
    internal fun markDone(dependency: Job) {
        unmetCount--
        satisfiedMs = maxOf(satisfiedMs, dependency.record?.endedMs ?: 0)
    }

    /** Sets the inherited priority and due time; returns whether that changed either. */
    internal fun setInherited(priority: Priority?, dueMs: Long?): Boolean {
        if (inheritedPriority == priority && inheritedDueMs == dueMs) return false
        inheritedPriority = priority
        inheritedDueMs = dueMs
        return true
    }
}
