package io.otterknot.rebalance

import io.otterknot.wire.JobSpec

/** Some waiting tasks of a job, as the planner sees them. */
data class WaitingJob(
    val spec: JobSpec,
    val waiting: Int,
    /** How many of them the team's limit and the job's own spread allow now. */
    val startable: Int,
    val isWithinGuarantee: Boolean,
    val waitedS: Double,
    /** None of it is on a machine or may be, so that it can be moved as a whole. */
    val isEntirelyPending: Boolean,
    /** How long ago some of its tasks were last handed over to this partition; null: never. */
    val secondsSinceArrival: Double? = null,
) {
    val team: String get() = spec.team
    val waitingCores: Double get() = waiting * spec.cores
}
