package io.otterknot.scheduling

import io.otterknot.wire.Priority

/**
 * The order in which waiting jobs are served: priority, then teams in turn by shares, then by [rank], then least work
 * left. Sorting at every report would cost more than the placement itself, so the order is kept for
 * [KEEP_MS] unless a job comes to wait.
 */
class SchedulingQueue(private val aims: ServiceLevelObjectives, private val wallOf: (Long) -> Long) {
    class Queue(val team: Int) {
        val jobs = ArrayList<PartitionJob>()
        var next = 0
        val head: PartitionJob? get() = jobs.getOrNull(next)

        /**
         * The head, or one of the next few that are as urgent as it and that [suits] likes better. Strictly in order,
         * the tasks of each job would go to all machines one after the other and its image be fetched by each.
         */
        fun pick(suits: (PartitionJob) -> Boolean): PartitionJob {
            val head = jobs[next]
            if (suits(head)) return head
            for (at in next + 1 until minOf(jobs.size, next + LOOK)) {
                val job = jobs[at]
                if (job.objectiveRank != head.objectiveRank) break
                if (suits(job)) return job
            }
            return head
        }
    }

    private val queues = Array(Priority.entries.size) { ArrayList<Queue>() }

    /** Of the jobs within their team's guarantee alone. */
    private val coveredQueues = Array(Priority.entries.size) { ArrayList<Queue>() }
    private var madeMs = Long.MIN_VALUE / 2
    private var stale = true

    /** The least cores that any waiting task takes: a machine with fewer free has nothing to look for. */
    var leastCores = 0.0
        private set

    /**
     * Jobs of which nothing has begun for long. Each gets one task before all others: with small jobs arriving all the
     * time, the largest would never begin, and best-effort work never under a steady load of urgent work.
     */
    val overdue = ArrayList<PartitionJob>()

    /** Work within a team's guarantee goes before all other work; else only before what is as urgent. */
    var coveredBeforeAll = false

    /** The most urgent priority of the jobs that wait and are not within their team's guarantee; null: all are. */
    private var mostUrgentUncovered: Priority? = null

    /**
     * Whether a job goes before work that is more urgent and for which room is held: it is within its team's guarantee,
     * and some of that work is not.
     */
    fun ignoresHeldRoom(job: PartitionJob): Boolean =
        coveredBeforeAll && job.covered && mostUrgentUncovered?.let { it < job.spec.priority } ?: false

    val empty: Boolean get() = leastCores == Double.MAX_VALUE

    fun invalidate() {
        stale = true
    }

    fun queues(priority: Priority): List<Queue> = queues[priority.ordinal]

    fun coveredQueues(priority: Priority): List<Queue> = coveredQueues[priority.ordinal]

    fun refresh(jobs: List<PartitionJob>, now: Long) {
        if (!stale && now - madeMs < KEEP_MS) return
        stale = false
        madeMs = now
        leastCores = Double.MAX_VALUE
        overdue.clear()
        mostUrgentUncovered = null
        coveredQueues.forEach { it.clear() }
        queues.forEach { it.clear() }
        for (job in sorted(jobs, now)) {
            leastCores = minOf(leastCores, job.spec.cores)
            if (job.neverStarted && wallOf(now) - job.readyMs > BEGIN_MS) overdue.add(job)
            add(job, queues)
            if (job.covered) {
                add(job, coveredQueues)
            } else {
                mostUrgentUncovered = listOfNotNull(mostUrgentUncovered, job.spec.priority).min()
            }
        }
    }

    private fun add(job: PartitionJob, to: Array<ArrayList<Queue>>) {
        val level = to[job.spec.priority.ordinal]
        (level.firstOrNull { it.team == job.team } ?: Queue(job.team).also(level::add)).jobs.add(job)
    }

    /** Jobs of which tasks wait, the most urgent first. */
    fun sorted(jobs: List<PartitionJob>, now: Long): List<PartitionJob> {
        val wall = wallOf(now)
        val waiting = ArrayList<PartitionJob>()
        for (job in jobs) {
            if (job.pending.isEmpty) continue
            val missed = aims.missed(job, wall)
            job.updateSortKeys(missed, rank(missed, aims.slackS(job, wall)))
            waiting.add(job)
        }
        waiting.sortWith(ORDER)
        return waiting
    }

    /**
     * First what is about to miss an aim, whichever that is; then the others by how many they have missed; last what
     * has none left. By missed aims alone a job late once would wait behind all that are new until it is late for good,
     * while most of those could wait.
     */
    private fun rank(missedAims: Int, slackS: Double?): Int = when {
        slackS == null -> Int.MAX_VALUE
        slackS < SOON_S -> 0
        else -> 1 + missedAims
    }

    companion object {
        private const val KEEP_MS = 500L
        private const val LOOK = 10
        private const val SOON_S = 30.0
        private const val BEGIN_MS = 90_000L
        private val ORDER = compareBy<PartitionJob> { it.spec.priority }
            .thenBy { it.objectiveRank }
            .thenBy { it.remainingCoreSeconds }
            .thenBy { it.submittedMs }
            .thenBy { it.id }
    }
}
