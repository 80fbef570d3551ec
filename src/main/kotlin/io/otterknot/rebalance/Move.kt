package io.otterknot.rebalance

/** A planned move of tasks of one job. */
sealed interface Move {
    val zone: String
    val team: String
    val job: String
    val reason: MoveReason
    val gainS: Double

    /** Reassigns waiting tasks of [job], [cores] cores in total, to the partition of zone [target]. */
    data class Reassignment(
        override val zone: String,
        override val team: String,
        override val job: String,
        override val reason: MoveReason,
        override val gainS: Double,
        /** Total cores of the tasks to move; those of all waiting tasks if the job must run in one zone. */
        val cores: Double,
        val target: String,
    ) : Move

    /** Stops the running [task] of [job], so that the scheduler places it again. */
    data class Stop(
        override val zone: String,
        override val team: String,
        override val job: String,
        override val reason: MoveReason,
        override val gainS: Double,
        val task: Int,
        val attempt: Long,
        val machine: String,
        val cores: Double,
        /** Core-seconds of work lost by the stop. */
        val lostCoreS: Double,
        /** The job for which capacity is freed, or null if the stop is for no specific job. */
        val beneficiary: String?,
    ) : Move
}
