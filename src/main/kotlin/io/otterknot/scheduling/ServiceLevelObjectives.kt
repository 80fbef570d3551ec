package io.otterknot.scheduling

import io.otterknot.wire.JobSpec

/**
 * The operators' objectives by job class. Under overload, serving jobs in order of arrival would make every job late,
 * so the objectives that a job has missed or is about to miss determine when it is served.
 */
class ServiceLevelObjectives(private val byJobClass: Map<String, List<ServiceLevelObjective>>) {
    /** Returns the number of objectives that [job] has missed if it is still pending at [wallMs]. */
    fun missed(job: PartitionJob, wallMs: Long): Int = latestStartsMs(job).count { wallMs > it }

    /**
     * Returns the seconds until [job], if it is still pending at [wallMs], misses its next objective, or null if it has
     * missed all of them. A job without objectives has unlimited slack.
     */
    fun slackS(job: PartitionJob, wallMs: Long): Double? {
        val latestStartsMs = latestStartsMs(job)
        if (latestStartsMs.isEmpty()) return Double.MAX_VALUE
        return latestStartsMs.filter { it >= wallMs }.minOrNull()?.let { (it - wallMs) / MS_PER_S }
    }

    /**
     * Returns the latest wall-clock times at which pending tasks of [job] have to start: one for each of its objectives
     * and, if dependent jobs have deadlines, one for those.
     */
    private fun latestStartsMs(job: PartitionJob): List<Double> {
        val likelyRunS = job.spec.estimateS * LIKELY_SHARE_OF_ESTIMATE
        val own = ofClass(job.spec).map { latestStartMs(it, job, likelyRunS) }
        val inheritedDueMs = job.inheritedDueMs ?: return own
        return own + (inheritedDueMs - likelyRunS * MS_PER_S)
    }

    private fun latestStartMs(objective: ServiceLevelObjective, job: PartitionJob, likelyRunS: Double): Double =
        when (objective) {
            is ServiceLevelObjective.Started -> job.readyMs + objective.withinS * MS_PER_S

            is ServiceLevelObjective.Finished -> job.readyMs + (objective.withinS - likelyRunS) * MS_PER_S

            is ServiceLevelObjective.Deadline -> {
                val dueS = job.spec.dueS
                if (dueS == null) NEVER else job.submittedMs + (dueS * objective.times - likelyRunS) * MS_PER_S
            }
        }

    /**
     * Returns how long a pending task of [spec] waits before it preempts tasks of lower priority. In the meantime
     * capacity freed by finishing tasks is reserved for it. The delay is a share of the job's shortest start objective.
     * It gives running tasks time to finish, since the work of a preempted task is lost.
     */
    fun preemptionDelayMs(spec: JobSpec): Long {
        val shortestWaitS = startObjectives(spec).minOfOrNull { it.withinS } ?: DEFAULT_WAIT_S
        return (shortestWaitS * PREEMPTION_DELAY_SHARE * MS_PER_S).toLong()
    }

    /**
     * Returns the share of the tasks of jobs like [spec] that has to start before a new machine has booted ([bootS]
     * seconds), so that capacity has to be available in advance; 0 if all of them may wait for a boot.
     */
    fun readyShare(spec: JobSpec, bootS: Double): Double =
        startObjectives(spec).filter { it.withinS < bootS }.maxOfOrNull { it.share } ?: 0.0

    private fun startObjectives(spec: JobSpec): List<ServiceLevelObjective.Started> =
        ofClass(spec).filterIsInstance<ServiceLevelObjective.Started>()

    private fun ofClass(spec: JobSpec): List<ServiceLevelObjective> = byJobClass[spec.jobClass].orEmpty()

    private companion object {
        const val MS_PER_S = 1000.0
        const val NEVER = Double.MAX_VALUE
        const val PREEMPTION_DELAY_SHARE = 0.3
        const val DEFAULT_WAIT_S = 10.0

        /**
         * The share of the user's estimate that is assumed as the run time. Users' estimates are often wrong by half,
         * so an objective counts as missed only if even a run time well below the estimate would miss it.
         */
        const val LIKELY_SHARE_OF_ESTIMATE = 0.6
    }
}
