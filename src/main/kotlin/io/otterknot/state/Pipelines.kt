package io.otterknot.state

import io.otterknot.wire.Priority

/** What a job awaits, and what it owes to the jobs that await it. */
class Needs(val ids: Set<String>) {
    /** Of the jobs awaited, those that are not durably done; more than that while not all of them have been read. */
    var open = ids.size

    /** Some job before it, directly or through others, is cancelled: it can never run, and so is cancelled as well. */
    var orphaned = false

    /** When the last of the jobs that it awaits was done. */
    var metMs = 0L

    /** The most urgent priority of the jobs that need it. */
    var lentPriority: Priority? = null

    /** When it has to be complete for those jobs' sake, by the time of day. */
    var lentDueMs: Long? = null
}

/**
 * Which jobs wait for which, derived from the replica alone and so the same at each controller that has read as much.
 * Work is done only where a job comes or becomes final, and along what that changes: chains may be long and fans wide,
 * so all walks keep a list of their own instead of calling themselves.
 */
class Pipelines(private val job: (String) -> Job?) {
    /** The jobs that directly await a job which is not done; only ever added to until it is. */
    private val waiters = HashMap<String, ArrayList<Job>>()

    /** What has been read of long lists, by job and number of the key. */
    private val pieces = HashMap<String, HashMap<Int, List<String>>>()

    /** [changed] has come or become final; the others of which something else holds now. */
    fun changed(changed: Job): List<Job> {
        val touched = LinkedHashSet<Job>()
        if (changed.live) {
            arrange(changed)
            if (changed.outcome == null) {
                // Jobs that need it may have been read before it.
                owe(changed)
                lend(changed, touched)
            }
        } else {
            pieces.remove(changed.id)
        }
        if (changed.outcome != null) {
            followOn(changed, touched)
            stopLending(changed, touched)
        }
        touched.remove(changed)
        return touched.toList()
    }

    /** One key of a long list of awaited jobs has been read. */
    fun more(waiting: Job, number: Int, ids: List<String>): List<Job> {
        if (waiting.final != null) return emptyList()
        pieces.getOrPut(waiting.id) { HashMap() }[number] = ids
        return if (waiting.live) listOf(waiting) + changed(waiting) else emptyList()
    }

    /** Notes what a live job awaits, once all of it has been read. */
    private fun arrange(waiting: Job) {
        if (waiting.needs.ids.isNotEmpty()) return
        val keys = waiting.record?.awaitKeys
        val ids = if (keys == null) {
            waiting.spec?.awaits ?: return
        } else {
            val read = pieces[waiting.id].orEmpty()
            if (read.size < keys) {
                // Not ready before all is known.
                waiting.needs.open = 1
                return
            }
            pieces.remove(waiting.id)
            read.values.flatten()
        }
        val needs = Needs(ids.toSet())
        waiting.needs = needs
        for (id in needs.ids) {
            val awaited = job(id)
            when (awaited?.outcome) {
                Final.DONE -> met(needs, awaited)
                Final.CANCELLED -> needs.orphaned = true
                null -> waiters.getOrPut(id) { ArrayList() }.add(waiting)
            }
        }
    }

    private fun met(needs: Needs, awaited: Job) {
        needs.open--
        needs.metMs = maxOf(needs.metMs, awaited.record?.endedMs ?: 0)
    }

    /** What follows for the jobs that await [ended], and for those that await them. */
    private fun followOn(ended: Job, touched: MutableSet<Job>) {
        val walk = ArrayDeque(listOf(ended))
        while (walk.isNotEmpty()) {
            val over = walk.removeFirst()
            for (waiting in waiters.remove(over.id).orEmpty()) {
                if (waiting.outcome != null) continue
                touched.add(waiting)
                if (over.outcome == Final.DONE) {
                    met(waiting.needs, over)
                } else {
                    waiting.needs.orphaned = true
                    walk.add(waiting)
                    stopLending(waiting, touched)
                }
            }
        }
    }

    // ---- what the last jobs of a pipeline ask of those before them

    /** Raises what the jobs before [from] owe. */
    private fun lend(from: Job, touched: MutableSet<Job>) = walkBack(from, touched) { awaited, waiting ->
        val needs = awaited.needs
        val priority = listOfNotNull(needs.lentPriority, urgency(waiting)).minOrNull()
        val due = listOfNotNull(needs.lentDueMs, beforeMs(waiting)).minOrNull()
        set(needs, priority, due)
    }

    /** Reckons anew what the jobs before [from] owe, since it needs them no more. */
    private fun stopLending(from: Job, touched: MutableSet<Job>) =
        walkBack(from, touched) { awaited, _ -> owe(awaited) }

    /** What [awaited] owes to all that need it; whether that is another than before. */
    private fun owe(awaited: Job): Boolean {
        val others = waiters[awaited.id].orEmpty().filter { it.outcome == null }
        return set(awaited.needs, others.mapNotNull(::urgency).minOrNull(), others.mapNotNull(::beforeMs).minOrNull())
    }

    private fun set(needs: Needs, priority: Priority?, dueMs: Long?): Boolean {
        if (needs.lentPriority == priority && needs.lentDueMs == dueMs) return false
        needs.lentPriority = priority
        needs.lentDueMs = dueMs
        return true
    }

    /** Goes to the jobs that [from] awaits, and on from those of which [reckon] says that something has changed. */
    private fun walkBack(from: Job, touched: MutableSet<Job>, reckon: (awaited: Job, waiting: Job) -> Boolean) {
        val walk = ArrayDeque(listOf(from))
        while (walk.isNotEmpty()) {
            val waiting = walk.removeFirst()
            for (id in waiting.needs.ids) {
                val awaited = job(id) ?: continue
                if (awaited.outcome != null || !awaited.live || !reckon(awaited, waiting)) continue
                touched.add(awaited)
                walk.add(awaited)
            }
        }
    }

    private fun urgency(of: Job): Priority? = listOfNotNull(of.spec?.priority, of.needs.lentPriority).minOrNull()

    /**
     * When the jobs before [of] have to be complete: its own due time, or its followers', less the time that it takes.
     */
    private fun beforeMs(of: Job): Long? {
        val spec = of.spec ?: return null
        val own = spec.dueS?.let { (of.record?.submittedMs ?: 0) + (it * 1000).toLong() }
        val due = listOfNotNull(own, of.needs.lentDueMs).minOrNull() ?: return null
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
