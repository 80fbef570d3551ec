package io.otterknot.jobs

import io.otterknot.records.TerminalState

/**
 * The directed acyclic graph of jobs that depend on others. It is derived from the replica alone, so that all
 * controllers that have read the same revision have the same graph. It is updated only when a job is read for the first
 * time or ends, and only for the jobs that this affects. Chains may be long and a job may have many dependents, so all
 * traversals use a queue instead of recursion.
 *
 * [findJob] returns a job by its id, or null if nothing has been read of it.
 */
class DependencyGraph(private val findJob: (String) -> Job?) {
    /**
     * The jobs that directly depend on a job that has not ended, by its id. Each list only grows until that job ends.
     */
    private val dependents = HashMap<String, ArrayList<Job>>()

    /** The segments read so far of dependency lists that did not fit in the job's record, by job id and number. */
    private val segments = HashMap<String, HashMap<Int, List<String>>>()

    private val inheritance = PriorityInheritance(findJob) { dependents[it].orEmpty() }

    /** Updates the graph when [changed] was read for the first time or has ended; returns the other affected jobs. */
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

    /** Adds segment [number] of the dependencies of [dependent] and returns the jobs that this affects. */
    fun addSegment(dependent: Job, number: Int, dependencyIds: List<String>): List<Job> {
        if (dependent.recordedTerminalState != null) return emptyList()
        segments.getOrPut(dependent.id) { HashMap() }[number] = dependencyIds
        return if (dependent.isActive) listOf(dependent) + jobChanged(dependent) else emptyList()
    }

    /** Adds the edges of an active job once the complete list of its dependencies has been read. */
    private fun resolveDependencies(dependent: Job) {
        if (dependent.dependencies.jobIds.isNotEmpty()) return
        val segmentCount = dependent.record?.dependencySegments
        val ids = if (segmentCount == null) dependent.spec?.dependencies else joinSegments(dependent, segmentCount)
        if (ids != null) addEdges(dependent, ids.toSet())
    }

    /**
     * Joins the [count] segments of the dependencies. Returns null and keeps the job unready while some are missing.
     */
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

    /** Updates the dependents of [ended], and in turn the dependents of the jobs that are cancelled with it. */
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
