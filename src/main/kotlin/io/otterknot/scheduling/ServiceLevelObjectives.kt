package io.otterknot.scheduling

import io.otterknot.config.ObjectiveSettings
import io.otterknot.wire.JobSpec

/** One aim on a class of jobs: started or finished this long after the submission, or by so many times the deadline. */
sealed interface ServiceLevelObjective {
    data class Started(val withinS: Double, val share: Double) : ServiceLevelObjective
    data class Finished(val withinS: Double) : ServiceLevelObjective
    data class Deadline(val times: Double) : ServiceLevelObjective
}

/** The aims on each class among the operators' objectives; other kinds of objectives are left out. */
fun objectivesByJobClass(objectives: List<ObjectiveSettings>): Map<String, List<ServiceLevelObjective>> = objectives
    .filter { it.jobKind != null }
    .groupBy { it.jobKind.orEmpty() }
    .mapValues { (_, ofKind) -> ofKind.mapNotNull(::aim) }

private fun aim(objective: ObjectiveSettings): ServiceLevelObjective? = when (objective.kind) {
    "wait" -> objective.withinS?.let { ServiceLevelObjective.Started(it, objective.share ?: DEFAULT_SHARE) }
    "finished" -> objective.withinS?.let(ServiceLevelObjective::Finished)
    "deadline" -> ServiceLevelObjective.Deadline(objective.times ?: 1.0)
    else -> null
}

private const val DEFAULT_SHARE = 0.5

/**
 * The operators' aims by class of job. When more is asked than can be done, serving in order of arrival would make
 * every job late; what a job has missed, and what it is about to miss, say when it is served.
 */
class ServiceLevelObjectives(private val byKind: Map<String, List<ServiceLevelObjective>>) {

    /** How many of its aims a job has missed at [wallMs], as it still waits. */
    fun missed(job: PartitionJob, wallMs: Long): Int = latestStarts(job).count { wallMs > it }

    /**
     * How long until a job, as it still waits at [wallMs], misses its next aim; null: it has missed all that it had.
     */
    fun slackS(job: PartitionJob, wallMs: Long): Double? {
        val latest = latestStarts(job)
        if (latest.isEmpty()) return Double.MAX_VALUE
        return latest.filter { it >= wallMs }.minOrNull()?.let { (it - wallMs) / 1000.0 }
    }

    /**
     * When, by the time of day, waiting tasks of a job must begin for each of its aims to be met, and for those of jobs
     * that need it.
     */
    private fun latestStarts(job: PartitionJob): List<Double> {
        val likely = job.spec.estimateS * LIKELY
        val own = byKind[job.spec.jobClass].orEmpty().map { aim ->
            when (aim) {
                is ServiceLevelObjective.Started -> job.readyMs + aim.withinS * 1000

                is ServiceLevelObjective.Finished -> job.readyMs + (aim.withinS - likely) * 1000

                is ServiceLevelObjective.Deadline -> job.spec.dueS?.let {
                    job.submittedMs +
                        (it * aim.times - likely) * 1000
                }
                    ?: Double.MAX_VALUE
            }
        }
        val lent = job.inheritedDueMs ?: return own
        return own + (lent - likely * 1000)
    }

    /**
     * How long a waiting task lets lesser work finish by itself, held room filling up meanwhile, before it has some
     * stopped: a share of the tightest wait asked for, since what is stopped has run for nothing.
     */
    fun patienceMs(spec: JobSpec): Long {
        val tightest =
            byKind[spec.jobClass].orEmpty().filterIsInstance<ServiceLevelObjective.Started>().minOfOrNull { it.withinS }
                ?: DEFAULT_WAIT_S
        return (tightest * PATIENCE * 1000).toLong()
    }

    /**
     * The share of such jobs that are to start sooner than a machine boots: for them machines must be there in
     * advance. 0 where they may wait for a boot.
     */
    fun readyShare(spec: JobSpec, bootS: Double): Double =
        byKind[spec.jobClass].orEmpty().filterIsInstance<ServiceLevelObjective.Started>().filter {
            it.withinS < bootS
        }.maxOfOrNull { it.share }
            ?: 0.0

    private companion object {
        const val PATIENCE = 0.3
        const val DEFAULT_WAIT_S = 10.0

        /** Owners' estimates are often wrong by half: a job is given up on only when even that would not do. */
        const val LIKELY = 0.6
    }
}
