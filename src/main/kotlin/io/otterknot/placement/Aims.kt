package io.otterknot.placement

import io.otterknot.wire.JobSpec

/** One aim on a class of jobs: started or finished this long after the submission, or by so many times the deadline. */
sealed interface Aim {
    data class Started(val withinS: Double) : Aim
    data class Finished(val withinS: Double) : Aim
    data class Deadline(val times: Double) : Aim
}

/**
 * The operators' aims by class of job. A job that can meet none of them any more waits behind those that still can:
 * when more is asked than can be done, serving in order of arrival would make every job late.
 */
class Aims(private val byKind: Map<String, List<Aim>>) {

    fun isLate(spec: JobSpec, ageMs: Long): Boolean {
        val aims = byKind[spec.kind].orEmpty()
        val ageS = ageMs / 1000.0
        val ends = aims.mapNotNull { aim ->
            when (aim) {
                is Aim.Started -> aim.withinS
                is Aim.Finished -> aim.withinS - spec.estimateS * LIKELY
                is Aim.Deadline -> spec.dueS?.let { it * aim.times - spec.estimateS * LIKELY }
            }
        }
        return ends.isNotEmpty() && ends.all { ageS > it }
    }

    private companion object {
        /** Owners' estimates are often wrong by half: a job is given up on only when even that would not do. */
        const val LIKELY = 0.6
    }
}
