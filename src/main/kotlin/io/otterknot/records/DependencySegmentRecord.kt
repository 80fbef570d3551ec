package io.otterknot.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Part of the list of jobs that a job depends on; a long list needs more than one key.
 *
 * @property ids the ids of these jobs without the prefix "j-", separated by spaces
 */
@Serializable
data class DependencySegmentRecord(@SerialName("i") val ids: String) {
    val jobs: List<String> get() = ids.split(' ').map { JOB_PREFIX + it }

    companion object {
        private const val JOB_PREFIX = "j-"

        fun of(jobs: List<String>) = DependencySegmentRecord(jobs.joinToString(" ") { it.removePrefix(JOB_PREFIX) })
    }
}
