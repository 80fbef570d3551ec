package io.otterknot.rebalance

import io.otterknot.scheduling.HeartbeatSpace
import io.otterknot.wire.JobSpec

/** The state of a job with waiting tasks, on which a plan is based. */
data class WaitingJob(
    val spec: JobSpec,
    val waiting: Int,
    /** Number of waiting tasks that the team's quota and the job's limit per zone allow to start now. */
    val startable: Int,
    val isWithinGuarantee: Boolean,
    val waitedS: Double,
    /** Whether no task of the job is, or may be, on a machine, so that the entire job can be moved. */
    val isEntirelyPending: Boolean,
    /** Seconds since tasks of the job were last reassigned to this partition, or null if never. */
    val secondsSinceArrival: Double? = null,
    /** The cores that one task takes, see [HeartbeatSpace.equivalentCores]. */
    val taskCores: Double = spec.cores,
) {
    val team: String get() = spec.team
    val waitingCores: Double get() = waiting * taskCores
}
