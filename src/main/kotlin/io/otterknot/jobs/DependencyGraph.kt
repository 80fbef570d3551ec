package io.otterknot.jobs

import io.otterknot.records.TerminalState

/**
 * The directed acyclic graph of jobs that depend on others, derived from the replica alone, so that all controllers
 * that have read the same revision agree on it. Work is done only where a job is read for the first time or ends, and
 * along what that changes. Chains may be long and fans wide, so all walks keep a queue instead of recursing.
 *
 * [findJob] returns null for a job of which nothing has been read.
 */
class DependencyGraph(private val findJob: (String) -> Job?) {
    /** By the id of a job that is not done, the jobs that directly depend on it; only added to until it is done. */
    private val dependents = HashMap<String, ArrayList<Job>>()

    /** The segments read so far of lists of dependencies that did not fit in the job's record, by job and number. */
    private val segments = HashMap<String, HashMap<Int, List<String>>>()

    private val inheritance = PriorityInheritance(findJob) { dependents[it].orEmpty() }

    /** Takes in that [changed] was read for the first time or has ended; returns the other jobs that this affects. */
    fun jobChanged(changed: Job): List<Job> {
        val affected = LinkedHashSet<Job>()
        if (changed.isActive) {
            resolveDependencies(changed)
            // Jobs that depend on it may have been read before it.
            if (changed.terminalState == null) inheritance.jobAdded(changed, affected)
        } else {
            segments.remove(changed.id)
        }
        if (changed.terminalState != null) {
            propagateTerminalState(changed, affected)
            inheritance.jobEnded(changed, affected)
        }
        affected.remove(changed)
        return affected.toList()
    }

    /** Takes in segment [number] of the dependencies of [dependent]; returns the jobs that this affects. */
    fun addSegment(dependent: Job, number: Int, dependencyIds: List<String>): List<Job> {
        if (dependent.recordedTerminalState != null) return emptyList()
        segments.getOrPut(dependent.id) { HashMap() }[number] = dependencyIds
        return if (dependent.isActive) listOf(dependent) + jobChanged(dependent) else emptyList()
    }

    /** Adds the edges of an active job, once the whole list of its dependencies has been read. */
    private fun resolveDependencies(dependent: Job) {
        if (dependent.dependencies.jobIds.isNotEmpty()) return
        val segmentCount = dependent.record?.dependencySegments
        val ids = if (segmentCount == null) dependent.spec?.dependencies else joinSegments(dependent, segmentCount)
        if (ids != null) addEdges(dependent, ids.toSet())
    }

    /** The list of dependencies in [count] segments; null, with the job not ready, while some are missing. */
    private fun joinSegments(dependent: Job, count: Int): List<String>? {
        val read = segments[dependent.id].orEmpty()
        if (read.size < count) {
            dependent.dependencies.unmetCount = 1
            return null
        }
        segments.remove(dependent.id)
        return read.values.flatten()
    }

    private fun addEdges(dependent: Job, dependencyIds: Set<String>) {
        val dependencies = JobDependencies(dependencyIds)
        dependent.dependencies = dependencies
        for (id in dependencyIds) {
            val dependency = findJob(id)
            when (dependency?.terminalState) {
                TerminalState.DONE -> dependencies.markDone(dependency)
                TerminalState.CANCELLED -> dependencies.isUnsatisfiable = true
                null -> dependents.getOrPut(id) { ArrayList() }.add(dependent)
            }
        }
    }

    /** Lets the jobs that depend on [ended] know, and those that depend on the ones that are cancelled by that. */
    private fun propagateTerminalState(ended: Job, affected: MutableSet<Job>) {
        val queue = ArrayDeque(listOf(ended))
        while (queue.isNotEmpty()) {
            val job = queue.removeFirst()
            for (dependent in dependents.remove(job.id).orEmpty()) {
                if (dependent.terminalState != null) continue
                affected.add(dependent)
                if (job.terminalState == TerminalState.DONE) {
                    dependent.dependencies.markDone(job)
                } else {
                    dependent.dependencies.isUnsatisfiable = true
                    queue.add(dependent)
                    inheritance.jobEnded(dependent, affected)
                }
            }
        }
    }
}
