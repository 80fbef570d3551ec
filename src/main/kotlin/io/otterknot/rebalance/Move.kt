package io.otterknot.rebalance

/** Something that is to be moved. */
sealed interface Move {
    val zone: String
    val team: String
    val job: String
    val reason: MoveReason
    val gainS: Double

    /** So many waiting tasks of [job] go to the partition of [target]. */
    data class Reassignment(
        override val zone: String,
        override val team: String,
        override val job: String,
        override val reason: MoveReason,
        override val gainS: Double,
        /** Cores that the tasks to be moved take together; all of a job's, if it has to be in one zone. */
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
        /** The job that gets the room; null: none in particular. */
        val beneficiary: String?,
    ) : Move
}
