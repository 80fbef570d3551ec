package io.otterknot.jobs

import io.otterknot.records.TerminalState
import io.otterknot.wire.Priority

/** What a job awaits, and the urgency that it inherits from the jobs that await it. */
class JobDependencies(val ids: Set<String>) {
    /** Of the jobs awaited, those that are not durably done; more than that while not all of them have been read. */
    var unmet = ids.size

    /** Some job before it, directly or through others, is cancelled: it can never run, and so is cancelled as well. */
    var orphaned = false

    /** When the last of the jobs that it awaits was done. */
    var satisfiedMs = 0L

    /** The most urgent priority of the jobs that need it. */
    var inheritedPriority: Priority? = null

    /** When it has to be complete for those jobs' sake, by the time of day. */
    var inheritedDueMs: Long? = null
}

/**
 * Which jobs wait for which, derived from the replica alone and so the same at each controller that has read as much.
 * Work is done only where a job comes or becomes final, and along what that changes: chains may be long and fans wide,
 * so all walks keep a list of their own instead of calling themselves.
 */
class DependencyGraph(private val job: (String) -> Job?) {
    /** The jobs that directly await a job which is not done; only ever added to until it is. */
    private val waiters = HashMap<String, ArrayList<Job>>()

    /** What has been read of long lists, by job and number of the key. */
    private val pieces = HashMap<String, HashMap<Int, List<String>>>()

    /** [changed] has come or become final; the others of which something else holds now. */
    fun changed(changed: Job): List<Job> {
        val touched = LinkedHashSet<Job>()
        if (changed.live) {
            readDependencies(changed)
            if (changed.outcome == null) {
                // Jobs that need it may have been read before it.
                inheritFromAll(changed)
                raiseInherited(changed, touched)
            }
        } else {
            pieces.remove(changed.id)
        }
        if (changed.outcome != null) {
            propagateEnd(changed, touched)
            recomputeInherited(changed, touched)
        }
        touched.remove(changed)
        return touched.toList()
    }

    /** One key of a long list of awaited jobs has been read. */
    fun addAwaitedJobs(waiting: Job, number: Int, ids: List<String>): List<Job> {
        if (waiting.final != null) return emptyList()
        pieces.getOrPut(waiting.id) { HashMap() }[number] = ids
        return if (waiting.live) listOf(waiting) + changed(waiting) else emptyList()
    }

    /** Notes what a live job awaits, once all of it has been read. */
    private fun readDependencies(waiting: Job) {
        if (waiting.dependencies.ids.isNotEmpty()) return
        val keys = waiting.record?.awaitKeys
        val ids = if (keys == null) {
            waiting.spec?.dependencies ?: return
        } else {
            val read = pieces[waiting.id].orEmpty()
            if (read.size < keys) {
                // Not ready before all is known.
                waiting.dependencies.unmet = 1
                return
            }
            pieces.remove(waiting.id)
            read.values.flatten()
        }
        val dependencies = JobDependencies(ids.toSet())
        waiting.dependencies = dependencies
        for (id in dependencies.ids) {
            val awaited = job(id)
            when (awaited?.outcome) {
                TerminalState.DONE -> markDone(dependencies, awaited)
                TerminalState.CANCELLED -> dependencies.orphaned = true
                null -> waiters.getOrPut(id) { ArrayList() }.add(waiting)
            }
        }
    }

    private fun markDone(dependencies: JobDependencies, awaited: Job) {
        dependencies.unmet--
        dependencies.satisfiedMs = maxOf(dependencies.satisfiedMs, awaited.record?.endedMs ?: 0)
    }

    /** What follows for the jobs that await [ended], and for those that await them. */
    private fun propagateEnd(ended: Job, touched: MutableSet<Job>) {
        val walk = ArrayDeque(listOf(ended))
        while (walk.isNotEmpty()) {
            val over = walk.removeFirst()
            for (waiting in waiters.remove(over.id).orEmpty()) {
                if (waiting.outcome != null) continue
                touched.add(waiting)
                if (over.outcome == TerminalState.DONE) {
                    markDone(waiting.dependencies, over)
                } else {
                    waiting.dependencies.orphaned = true
                    walk.add(waiting)
                    recomputeInherited(waiting, touched)
                }
            }
        }
    }

    // ---- what the last jobs of a pipeline ask of those before them

    /** Raises what the jobs before [from] inherit. */
    private fun raiseInherited(from: Job, touched: MutableSet<Job>) = walkBack(from, touched) { awaited, waiting ->
        val dependencies = awaited.dependencies
        val priority = listOfNotNull(dependencies.inheritedPriority, urgency(waiting)).minOrNull()
        val due = listOfNotNull(dependencies.inheritedDueMs, beforeMs(waiting)).minOrNull()
        set(dependencies, priority, due)
    }

    /** Recomputes what the jobs before [from] inherit, since it no longer needs them. */
    private fun recomputeInherited(from: Job, touched: MutableSet<Job>) =
        walkBack(from, touched) { awaited, _ -> inheritFromAll(awaited) }

    /** Sets what [awaited] inherits from all that need it; whether that has changed. */
    private fun inheritFromAll(awaited: Job): Boolean {
        val others = waiters[awaited.id].orEmpty().filter { it.outcome == null }
        return set(
            awaited.dependencies,
            others.mapNotNull(::urgency).minOrNull(),
            others.mapNotNull(::beforeMs).minOrNull(),
        )
    }

    private fun set(dependencies: JobDependencies, priority: Priority?, dueMs: Long?): Boolean {
        if (dependencies.inheritedPriority == priority && dependencies.inheritedDueMs == dueMs) return false
        dependencies.inheritedPriority = priority
        dependencies.inheritedDueMs = dueMs
        return true
    }

    /** Goes to the jobs that [from] awaits, and on from those of which [update] says that something has changed. */
    private fun walkBack(from: Job, touched: MutableSet<Job>, update: (awaited: Job, waiting: Job) -> Boolean) {
        val walk = ArrayDeque(listOf(from))
        while (walk.isNotEmpty()) {
            val waiting = walk.removeFirst()
            for (id in waiting.dependencies.ids) {
                val awaited = job(id) ?: continue
                if (awaited.outcome != null || !awaited.live || !update(awaited, waiting)) continue
                touched.add(awaited)
                walk.add(awaited)
            }
        }
    }

    private fun urgency(of: Job): Priority? =
        listOfNotNull(of.spec?.priority, of.dependencies.inheritedPriority).minOrNull()

    /**
     * When the jobs before [of] have to be complete: its own due time, or its followers', less the time that it takes.
     */
    private fun beforeMs(of: Job): Long? {
        val spec = of.spec ?: return null
        val own = spec.dueS?.let { (of.record?.submittedMs ?: 0) + (it * 1000).toLong() }
        val due = listOfNotNull(own, of.dependencies.inheritedDueMs).minOrNull() ?: return null
        return due - (spec.estimateS * 1000).toLong() - STEP_MS
    }

    private companion object {
        /**
         * From the end of one job to the start of the next: what is reported, written, read, placed and fetched
         * meanwhile.
         */
        const val STEP_MS = 4_000L
    }
}
