package io.otterknot.jobs

import io.otterknot.wire.Priority

/**
 * Applies the priority and the due time of jobs to the jobs that they depend on (priority inheritance), so that an
 * urgent job at the end of a pipeline is not delayed by less urgent jobs before it.
 *
 * [findJob] returns a job by its id, or null if nothing has been read of it; [dependentsOf] returns the jobs that
 * directly depend on a job that has not ended.
 */
internal class PriorityInheritance(
    private val findJob: (String) -> Job?,
    private val dependentsOf: (jobId: String) -> List<Job>,
) {
    /** Updates what [job] and its dependencies inherit; adds the dependencies that this changed to [affected]. */
    fun jobAdded(job: Job, affected: MutableSet<Job>) {
        inheritFromDependents(job)
        updateDependencies(job, affected, ::inheritFrom)
    }

    /** Updates what the dependencies of the ended [job] inherit; adds those that this changed to [affected]. */
    fun jobEnded(job: Job, affected: MutableSet<Job>) =
        updateDependencies(job, affected) { dependency, _ -> inheritFromDependents(dependency) }

    /** Raises what [dependency] inherits to the urgency of [dependent]; returns whether that changed anything. */
    private fun inheritFrom(dependency: Job, dependent: Job): Boolean {
        val inherited = dependency.dependencies
        return inherited.setInherited(
            priority = listOfNotNull(inherited.inheritedPriority, effectivePriority(dependent)).minOrNull(),
            dueMs = listOfNotNull(inherited.inheritedDueMs, latestStartMs(dependent)).minOrNull(),
        )
    }

    /** Recomputes what [dependency] inherits from all its dependents; returns whether that changed anything. */
    private fun inheritFromDependents(dependency: Job): Boolean {
        val dependents = dependentsOf(dependency.id).filter { it.terminalState == null }
        return dependency.dependencies.setInherited(
            priority = dependents.mapNotNull(::effectivePriority).minOrNull(),
            dueMs = dependents.mapNotNull(::latestStartMs).minOrNull(),
        )
    }

    /**
     * Calls [update] for the dependencies of [start], then for the dependencies of those for which it returned true.
     */
    private inline fun updateDependencies(
        start: Job,
        affected: MutableSet<Job>,
        update: (dependency: Job, dependent: Job) -> Boolean,
    ) {
        val queue = ArrayDeque(listOf(start))
        while (queue.isNotEmpty()) {
            val dependent = queue.removeFirst()
            for (id in dependent.dependencies.jobIds) {
                val dependency = findJob(id)?.takeIf { it.isActive && it.terminalState == null } ?: continue
                if (!update(dependency, dependent)) continue
                affected.add(dependency)
                queue.add(dependency)
            }
        }
    }

    private fun effectivePriority(job: Job): Priority? =
        listOfNotNull(job.spec?.priority, job.dependencies.inheritedPriority).minOrNull()

    /**
     * When the dependencies of [job] must be complete: its due time, less its estimated run time and [HANDOFF_MS]. Null
     * if it has no due time.
     */
    private fun latestStartMs(job: Job): Long? {
        val spec = job.spec ?: return null
        val ownDueMs = spec.dueS?.let { (job.record?.submittedMs ?: 0) + (it * 1000).toLong() }
        val dueMs = listOfNotNull(ownDueMs, job.dependencies.inheritedDueMs).minOrNull() ?: return null
        return dueMs - (spec.estimateS * 1000).toLong() - HANDOFF_MS
    }

    private companion object {
        /** Time from the end of a job to the start of the next: heartbeat, write, watch, scheduling and image fetch. */
        const val HANDOFF_MS = 4_000L
    }
}
