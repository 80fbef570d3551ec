package io.otterknot.scheduling

import io.otterknot.config.ObjectiveSettings

/** A service level objective for a class of jobs, of one of the kinds that affect scheduling. */
sealed interface ServiceLevelObjective {
    /** At least this [share] of the tasks starts within [withinS] seconds after the job is ready to run. */
    data class Started(val withinS: Double, val share: Double) : ServiceLevelObjective

    /** The job is complete within [withinS] seconds after it is ready to run. */
    data class Finished(val withinS: Double) : ServiceLevelObjective

    /** The job is complete within [times] times its deadline, measured from the submission. */
    data class Deadline(val times: Double) : ServiceLevelObjective
}

/** Returns the objectives that affect scheduling, by job class. */
fun objectivesByJobClass(objectives: List<ObjectiveSettings>): Map<String, List<ServiceLevelObjective>> = objectives
    .filter { it.jobClass != null }
    .groupBy { it.jobClass.orEmpty() }
    .mapValues { (_, ofClass) -> ofClass.mapNotNull(::toObjective) }

/** Converts [settings], or returns null if their kind does not affect scheduling or is unknown to this version. */
private fun toObjective(settings: ObjectiveSettings): ServiceLevelObjective? = when (settings.kind) {
    KIND_STARTED -> settings.withinS?.let { ServiceLevelObjective.Started(it, settings.share ?: DEFAULT_SHARE) }
    KIND_FINISHED -> settings.withinS?.let(ServiceLevelObjective::Finished)
    KIND_DEADLINE -> ServiceLevelObjective.Deadline(settings.times ?: 1.0)
    else -> null
}

private const val KIND_STARTED = "wait"
private const val KIND_FINISHED = "finished"
private const val KIND_DEADLINE = "deadline"
private const val DEFAULT_SHARE = 0.5
