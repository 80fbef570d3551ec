package io.otterknot.scheduling

import io.otterknot.config.ObjectiveSettings

/** What the operators ask for a class of jobs; other objectives of theirs do not concern scheduling. */
sealed interface ServiceLevelObjective {
    /** So large a [share] of the tasks has started [withinS] seconds after the submission. */
    data class Started(val withinS: Double, val share: Double) : ServiceLevelObjective

    /** The job is complete [withinS] seconds after the submission. */
    data class Finished(val withinS: Double) : ServiceLevelObjective

    /** The job is complete by so many [times] its deadline. */
    data class Deadline(val times: Double) : ServiceLevelObjective
}

/** The objectives of each class of jobs, from the settings. */
fun objectivesByJobClass(objectives: List<ObjectiveSettings>): Map<String, List<ServiceLevelObjective>> = objectives
    .filter { it.jobClass != null }
    .groupBy { it.jobClass.orEmpty() }
    .mapValues { (_, ofClass) -> ofClass.mapNotNull(::toObjective) }

/** Null: of a kind that does not concern scheduling, or one that this version does not know. */
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
