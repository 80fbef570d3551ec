package io.otterknot.rebalance

/** A planned move of work of one job. */
sealed interface Move {
    val zone: String
    val team: String
    val job: String
    val reason: MoveReason
    val gainS: Double

    /** Waiting tasks of [job] with [cores] cores go to the partition of zone [target]. */
    data class Reassignment(
        override val zone: String,
        override val team: String,
        override val job: String,
        override val reason: MoveReason,
        override val gainS: Double,
        /** Total cores of the tasks to move; all of a job's waiting tasks if it must stay in one zone. */
        val cores: Double,
        val target: String,
    ) : Move

    /** The running [task] of [job] is stopped, so that it is placed anew. */
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
        /** Core-seconds that are thrown away. */
        val lostCoreS: Double,
        /** The job that gets the freed capacity; null: none in particular. */
        val beneficiary: String?,
    ) : Move
}
