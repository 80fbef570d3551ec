package io.otterknot.scheduling

import io.otterknot.wire.Priority

/**
 * The order in which the pending jobs of a partition are served:
 *
 * 1. by priority;
 * 2. among the teams of one priority by fair share (the scheduler alternates between the [TeamQueue]s);
 * 3. within a team by [PartitionJob.objectiveRank]: first jobs about to miss an objective, then jobs by the number of
 *    missed objectives, last jobs that can no longer meet any;
 * 4. by the least remaining work, then the earliest submission, then the id.
 *
 * Sorting at every heartbeat would cost more than the placement itself, so the order is reused for up to [MAX_AGE_MS]
 * unless [invalidate] is called.
 */
class SchedulingQueue(private val objectives: ServiceLevelObjectives, private val wallTimeOf: (Long) -> Long) {
    /** The pending jobs of one [team] and priority, in order. */
    class TeamQueue(val team: Int) {
        val jobs = ArrayList<PartitionJob>()

        /** The index of the job to be served next. */
        var next = 0

        /** The job to be served next, or null if the queue is exhausted. */
        val head: PartitionJob? get() = jobs.getOrNull(next)

        /**
         * Returns the first [preferred] job among the head and the next few jobs of the same rank, or the head if there
         * is none. In strict order, the tasks of each job would be spread over all machines in turn and every machine
         * would have to fetch the job's image.
         */
        fun pick(preferred: (PartitionJob) -> Boolean): PartitionJob {
            val head = jobs[next]
            if (preferred(head)) return head
            for (index in next + 1 until minOf(jobs.size, next + LOOKAHEAD_JOBS)) {
                val job = jobs[index]
                if (job.objectiveRank != head.objectiveRank) break
                if (preferred(job)) return job
            }
            return head
        }
    }

    private val queuesByPriority = Array(Priority.entries.size) { ArrayList<TeamQueue>() }

    /** As [queuesByPriority], but only with jobs within their team's guaranteed quota. */
    private val guaranteedQueuesByPriority = Array(Priority.entries.size) { ArrayList<TeamQueue>() }
    private var sortedMs = Long.MIN_VALUE / 2
    private var isStale = true

    /** The fewest cores that any pending task requests; no pending task fits on a machine with fewer free cores. */
    var minPendingCores = 0.0
        private set

    /**
     * Jobs that have been ready for [OVERDUE_MS] without a started task. One task of each is placed before all other
     * tasks. Otherwise the largest job would never start while small jobs keep arriving, and best-effort jobs would
     * never start under a steady load of urgent jobs.
     */
    val overdue = ArrayList<PartitionJob>()

    /**
     * Whether jobs within their team's guaranteed quota precede all other jobs. If not, they precede only other jobs of
     * the same priority.
     */
    var guaranteedBeforeAll = false

    /** The most urgent priority among pending jobs beyond their team's guaranteed quota, or null if there are none. */
    private var mostUrgentBeyondGuarantee: Priority? = null

    /** Whether no job is pending. */
    val isEmpty: Boolean get() = minPendingCores == Double.MAX_VALUE

    /**
     * Whether [job] may use capacity that is reserved for more urgent jobs. That is so if [guaranteedBeforeAll] is set,
     * the job is within its team's guaranteed quota, and some more urgent pending job is not within its team's.
     */
    fun ignoresReservations(job: PartitionJob): Boolean = guaranteedBeforeAll && job.isWithinGuarantee &&
        mostUrgentBeyondGuarantee?.let { it < job.spec.priority } ?: false

    /** Marks the order as stale, so that the next [refresh] sorts again. */
    fun invalidate() {
        isStale = true
    }

    /** Returns the queues of one priority, one for each team. */
    fun queues(priority: Priority): List<TeamQueue> = queuesByPriority[priority.ordinal]

    /** As [queues], but only with jobs within their team's guaranteed quota. */
    fun guaranteedQueues(priority: Priority): List<TeamQueue> = guaranteedQueuesByPriority[priority.ordinal]

    /** Sorts [jobs] again if the order is stale or older than [MAX_AGE_MS]. */
    fun refresh(jobs: List<PartitionJob>, now: Long) {
        if (!isStale && now - sortedMs < MAX_AGE_MS) return
        isStale = false
        sortedMs = now
        minPendingCores = Double.MAX_VALUE
        overdue.clear()
        mostUrgentBeyondGuarantee = null
        guaranteedQueuesByPriority.forEach { it.clear() }
        queuesByPriority.forEach { it.clear() }
        for (job in sorted(jobs, now)) enqueue(job, now)
    }

    private fun enqueue(job: PartitionJob, now: Long) {
        minPendingCores = minOf(minPendingCores, job.spec.cores)
        if (job.neverStarted && wallTimeOf(now) - job.readyMs > OVERDUE_MS) overdue.add(job)
        append(job, queuesByPriority)
        if (job.isWithinGuarantee) {
            append(job, guaranteedQueuesByPriority)
        } else {
            mostUrgentBeyondGuarantee = listOfNotNull(mostUrgentBeyondGuarantee, job.spec.priority).min()
        }
    }

    private fun append(job: PartitionJob, queues: Array<ArrayList<TeamQueue>>) {
        val teamQueues = queues[job.spec.priority.ordinal]
        val teamQueue = teamQueues.firstOrNull { it.team == job.team } ?: TeamQueue(job.team).also(teamQueues::add)
        teamQueue.jobs.add(job)
    }

    /** Returns the jobs with pending tasks in the order of this class, but without fair share between teams. */
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
     * Returns the rank of a job by its objectives, lower first. With the number of missed objectives alone, a job that
     * has missed one would wait behind all new jobs until it has missed all of its objectives, although most of the new
     * jobs have time left.
     */
    private fun rank(missedCount: Int, slackS: Double?): Int = when {
        slackS == null -> Int.MAX_VALUE
        slackS < IMMINENT_S -> 0
        else -> 1 + missedCount
    }

    private companion object {
        const val MAX_AGE_MS = 500L
        const val LOOKAHEAD_JOBS = 10

        /** A job whose next objective would be missed within this time is served first. */
        const val IMMINENT_S = 30.0
        const val OVERDUE_MS = 90_000L
        val ORDER = compareBy<PartitionJob> { it.spec.priority }
            .thenBy { it.objectiveRank }
            .thenBy { it.remainingCoreSeconds }
            .thenBy { it.submittedMs }
            .thenBy { it.id }
    }
}
