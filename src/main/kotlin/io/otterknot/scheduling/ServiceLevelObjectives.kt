package io.otterknot.scheduling

import io.otterknot.wire.JobSpec

/**
 * The operators' objectives by class of jobs. When more is asked than can be done, serving in order of arrival would
 * make every job late; what a job has missed, and what it is about to miss, decide when it is served.
 */
class ServiceLevelObjectives(private val byJobClass: Map<String, List<ServiceLevelObjective>>) {
    /** How many of its objectives a job has missed at [wallMs], if it is still pending then. */
    fun missed(job: PartitionJob, wallMs: Long): Int = latestStartsMs(job).count { wallMs > it }

    /** Seconds until a job that is pending at [wallMs] misses its next objective; null: it has missed all of them. */
    fun slackS(job: PartitionJob, wallMs: Long): Double? {
        val latestStartsMs = latestStartsMs(job)
        if (latestStartsMs.isEmpty()) return Double.MAX_VALUE
        return latestStartsMs.filter { it >= wallMs }.minOrNull()?.let { (it - wallMs) / MS_PER_S }
    }

    /**
     * When, by the time of day, pending tasks of a job have to start so that each of its objectives is met, and the
     * deadlines of jobs that depend on it.
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
     * How long a pending task lets lower work finish by itself, reserved room filling up meanwhile, before it has some
     * preempted: a share of the tightest wait asked for, since what is preempted has run for nothing.
     */
    fun patienceMs(spec: JobSpec): Long {
        val tightestWaitS = waits(spec).minOfOrNull { it.withinS } ?: DEFAULT_WAIT_S
        return (tightestWaitS * PATIENCE_SHARE * MS_PER_S).toLong()
    }

    /**
     * The share of such jobs that have to start sooner than a machine boots ([bootS]), so that machines must be there in
     * advance; 0 where all may wait for a boot.
     */
    fun readyShare(spec: JobSpec, bootS: Double): Double =
        waits(spec).filter { it.withinS < bootS }.maxOfOrNull { it.share } ?: 0.0

    private fun waits(spec: JobSpec): List<ServiceLevelObjective.Started> =
        ofClass(spec).filterIsInstance<ServiceLevelObjective.Started>()

    private fun ofClass(spec: JobSpec): List<ServiceLevelObjective> = byJobClass[spec.jobClass].orEmpty()

    private companion object {
        const val MS_PER_S = 1000.0
        const val NEVER = Double.MAX_VALUE
        const val PATIENCE_SHARE = 0.3
        const val DEFAULT_WAIT_S = 10.0

        /** Users' estimates are often wrong by half: a job is given up on only when even that would not do. */
        const val LIKELY_SHARE_OF_ESTIMATE = 0.6
    }
}
