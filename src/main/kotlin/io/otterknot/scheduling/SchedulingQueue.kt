package io.otterknot.scheduling

import io.otterknot.wire.Priority

/**
 * The order in which the pending jobs of a partition are served:
 *
 * 1. by priority;
 * 2. among the teams of one priority by fair share (the scheduler takes turns between the [TeamQueue]s);
 * 3. within a team by [PartitionJob.objectiveRank]: what is about to miss an objective, then what has missed fewest,
 *    last what has none left to meet;
 * 4. by the least remaining work, then the earliest submission, then the id.
 *
 * Sorting at every heartbeat would cost more than the placement itself, so the order is kept for [MAX_AGE_MS] unless a
 * job becomes pending.
 */
class SchedulingQueue(private val objectives: ServiceLevelObjectives, private val wallTimeOf: (Long) -> Long) {
    /** The pending jobs of one [team] and priority, in order. */
    class TeamQueue(val team: Int) {
        val jobs = ArrayList<PartitionJob>()

        /** The place of the job to be served next. */
        var next = 0

        /** The job to be served next; null: the queue is at its end. */
        val head: PartitionJob? get() = jobs.getOrNull(next)

        /**
         * The head, or one of the next few that rank the same and are [preferred]. Strictly in order, the tasks of each
         * job would go to all machines one after the other, and its image be fetched by each.
         */
        fun pick(preferred: (PartitionJob) -> Boolean): PartitionJob {
            val head = jobs[next]
            if (preferred(head)) return head
            for (place in next + 1 until minOf(jobs.size, next + LOOKAHEAD_JOBS)) {
                val job = jobs[place]
                if (job.objectiveRank != head.objectiveRank) break
                if (preferred(job)) return job
            }
            return head
        }
    }

    private val queuesByPriority = Array(Priority.entries.size) { ArrayList<TeamQueue>() }

    /** Of the jobs within their team's guaranteed quota alone. */
    private val coveredQueuesByPriority = Array(Priority.entries.size) { ArrayList<TeamQueue>() }
    private var sortedMs = Long.MIN_VALUE / 2
    private var isStale = true

    /** The fewest cores that a pending task takes: a machine with fewer free has nothing to look for. */
    var leastCores = 0.0
        private set

    /**
     * Jobs of which no task has started for [OVERDUE_MS]. Each gets one task before all others: with small jobs arriving
     * all the time, the largest would never start, and best-effort work never under a steady load of urgent work.
     */
    val overdue = ArrayList<PartitionJob>()

    /** Work within a team's guaranteed quota goes before all other work; else only before work of its priority. */
    var coveredBeforeAll = false

    /** The most urgent priority of the pending jobs beyond their team's guaranteed quota; null: there are none. */
    private var mostUrgentUncovered: Priority? = null

    /** Whether nothing is pending. */
    val isEmpty: Boolean get() = leastCores == Double.MAX_VALUE

    /**
     * Whether [job] goes before more urgent work that room is reserved for: it is within its team's guaranteed quota, and
     * some of that work is not.
     */
    fun ignoresReservations(job: PartitionJob): Boolean =
        coveredBeforeAll && job.covered && mostUrgentUncovered?.let { it < job.spec.priority } ?: false

    /** Something has changed that the order depends on. */
    fun invalidate() {
        isStale = true
    }

    /** The queues of one priority, one for each team. */
    fun queues(priority: Priority): List<TeamQueue> = queuesByPriority[priority.ordinal]

    /** The same with jobs within their team's guaranteed quota alone. */
    fun coveredQueues(priority: Priority): List<TeamQueue> = coveredQueuesByPriority[priority.ordinal]

    /** Sorts [jobs] anew if the order is out of date. */
    fun refresh(jobs: List<PartitionJob>, now: Long) {
        if (!isStale && now - sortedMs < MAX_AGE_MS) return
        isStale = false
        sortedMs = now
        leastCores = Double.MAX_VALUE
        overdue.clear()
        mostUrgentUncovered = null
        coveredQueuesByPriority.forEach { it.clear() }
        queuesByPriority.forEach { it.clear() }
        for (job in sorted(jobs, now)) enqueue(job, now)
    }

    private fun enqueue(job: PartitionJob, now: Long) {
        leastCores = minOf(leastCores, job.spec.cores)
        if (job.neverStarted && wallTimeOf(now) - job.readyMs > OVERDUE_MS) overdue.add(job)
        append(job, queuesByPriority)
        if (job.covered) {
            append(job, coveredQueuesByPriority)
        } else {
            mostUrgentUncovered = listOfNotNull(mostUrgentUncovered, job.spec.priority).min()
        }
    }

    private fun append(job: PartitionJob, queues: Array<ArrayList<TeamQueue>>) {
        val teamQueues = queues[job.spec.priority.ordinal]
        val teamQueue = teamQueues.firstOrNull { it.team == job.team } ?: TeamQueue(job.team).also(teamQueues::add)
        teamQueue.jobs.add(job)
    }

    /** The jobs with pending tasks, in the order above but for the teams' turns. */
    fun sorted(jobs: List<PartitionJob>, now: Long): List<PartitionJob> {
        val wallMs = wallTimeOf(now)
        val pending = ArrayList<PartitionJob>()
        for (job in jobs) {
            if (job.pending.isEmpty) continue
            val missedCount = objectives.missed(job, wallMs)
            job.updateSortKeys(missedCount, rank(missedCount, objectives.slackS(job, wallMs)))
            pending.add(job)
        }
        pending.sortWith(ORDER)
        return pending
    }

    /**
     * By missed objectives alone, a job late once would wait behind all that are new until it is late for good, while
     * most of those could wait.
     */
    private fun rank(missedCount: Int, slackS: Double?): Int = when {
        slackS == null -> Int.MAX_VALUE
        slackS < IMMINENT_S -> 0
        else -> 1 + missedCount
    }

    private companion object {
        const val MAX_AGE_MS = 500L
        const val LOOKAHEAD_JOBS = 10

        /** An objective that would be missed this soon is about to be missed. */
        const val IMMINENT_S = 30.0
        const val OVERDUE_MS = 90_000L
        val ORDER = compareBy<PartitionJob> { it.spec.priority }
            .thenBy { it.objectiveRank }
            .thenBy { it.remainingCoreSeconds }
            .thenBy { it.submittedMs }
            .thenBy { it.id }
    }
}
