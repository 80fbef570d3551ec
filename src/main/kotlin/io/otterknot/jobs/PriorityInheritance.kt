package io.otterknot.jobs

import io.otterknot.wire.Priority

/**
 * Gives jobs the priority and the due time of the jobs that depend on them (priority inheritance), so that the last job
 * of a pipeline does not wait for less urgent ones before it.
 *
 * [findJob] returns null for a job of which nothing has been read; [dependentsOf] returns the jobs that directly depend
 * on one that has not ended.
 */
internal class PriorityInheritance(
    private val findJob: (String) -> Job?,
    private val dependentsOf: (jobId: String) -> List<Job>,
) {
    /** Takes in that [job] depends on others; adds the jobs that inherit something else now to [affected]. */
    fun jobAdded(job: Job, affected: MutableSet<Job>) {
        inheritFromDependents(job)
        updateDependencies(job, affected, ::inheritFrom)
    }

    /** Takes in that [job] needs no other job any more; adds the jobs that inherit something else now to [affected]. */
    fun jobEnded(job: Job, affected: MutableSet<Job>) =
        updateDependencies(job, affected) { dependency, _ -> inheritFromDependents(dependency) }

    /** Raises what [dependency] inherits to what [dependent] asks for; returns whether that changed anything. */
    private fun inheritFrom(dependency: Job, dependent: Job): Boolean {
        val inherited = dependency.dependencies
        return inherited.inherit(
            priority = listOfNotNull(inherited.inheritedPriority, effectivePriority(dependent)).minOrNull(),
            dueMs = listOfNotNull(inherited.inheritedDueMs, latestStartMs(dependent)).minOrNull(),
        )
    }

    /** Recomputes what [dependency] inherits from all jobs that depend on it; returns whether that changed anything. */
    private fun inheritFromDependents(dependency: Job): Boolean {
        val dependents = dependentsOf(dependency.id).filter { it.terminalState == null }
        return dependency.dependencies.inherit(
            priority = dependents.mapNotNull(::effectivePriority).minOrNull(),
            dueMs = dependents.mapNotNull(::latestStartMs).minOrNull(),
        )
    }

    /** Calls [update] for the jobs that [start] depends on, and goes on from those for which it returns true. */
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

    /** When the jobs before [job] have to be complete: the due time of [job] less the time that it takes itself. */
    private fun latestStartMs(job: Job): Long? {
        val spec = job.spec ?: return null
        val ownDueMs = spec.dueS?.let { (job.record?.submittedMs ?: 0) + (it * 1000).toLong() }
        val dueMs = listOfNotNull(ownDueMs, job.dependencies.inheritedDueMs).minOrNull() ?: return null
        return dueMs - (spec.estimateS * 1000).toLong() - HANDOFF_MS
    }

    private companion object {
        /** From the end of a job to the start of the next: heartbeat, write, watch, scheduling and image fetch. */
        const val HANDOFF_MS = 4_000L
    }
}
