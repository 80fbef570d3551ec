package io.otterknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The priorities of jobs, the highest first. */
@Serializable
enum class Priority {
    @SerialName("prod")
    PRODUCTION,

    @SerialName("high")
    HIGH,

    @SerialName("normal")
    NORMAL,

    @SerialName("best_effort")
    BEST_EFFORT,
    ;

    companion object {
        /** The priorities by their names on the wire. */
        val byWire = mapOf("prod" to PRODUCTION, "high" to HIGH, "normal" to NORMAL, "best_effort" to BEST_EFFORT)
    }
}

/** A job as it was submitted. */
@Serializable
data class JobSpec(
    @SerialName("Uid") val id: String,
    /** The class of the job, which selects its service-level objectives. */
    @SerialName("Ilk") val jobClass: String,
    @SerialName("Crew") val team: String,
    @SerialName("Rank") val priority: Priority,
    @SerialName("Chores") val tasks: Int,
    /** CPU cores of one task; [gpus] and [memoryGb] are also per task. */
    @SerialName("Cores") val cores: Double,
    @SerialName("Cards") val gpus: Double = 0.0,
    @SerialName("MemoryGb") val memoryGb: Double,
    /** Name of the image that a machine must have fetched before a task can start. */
    @SerialName("Pelt") val image: String,
    @SerialName("SizeGb") val imageGb: Double,
    /** Names of the allowed machine types, or null if all are allowed. */
    @SerialName("Breeds") val types: List<String>? = null,
    /** The only allowed zone, or null if all are allowed. */
    @SerialName("Reach") val zone: String? = null,
    /** Whether all tasks must be in the same zone. */
    @SerialName("SamePlace") val sameZone: Boolean = false,
    /** Whether tasks must be spread across zones, see [maxTasksPerZone]. */
    @SerialName("Scatter") val spreadAcrossZones: Boolean = false,
    /** Whether spot machines are allowed. */
    @SerialName("Driftwood") val spot: Boolean = false,
    /** The owner's estimate of the run time of one task in seconds; often off by half. */
    @SerialName("GuessS") val estimateS: Double,
    /** Seconds of progress between checkpoints, or 0 if tasks write none and lose their progress when stopped. */
    @SerialName("CacheS") val checkpointS: Double = 0.0,
    /** Seconds that a task needs to write a checkpoint when it is stopped. */
    @SerialName("StashS") val saveS: Double = 0.0,
    /** Seconds from the submission to the due time of the job, or null if it has none. */
    @SerialName("DueS") val dueS: Double? = null,
    /** Ids of the jobs that must be done before any task of this job starts, without duplicates, or null if none. */
    @SerialName("Awaits") val dependencies: List<String>? = null,
) {
    /** The maximum number of tasks that may be in one zone at a time. */
    val maxTasksPerZone: Int get() = if (spreadAcrossZones) (tasks + 1) / 2 else tasks
}

/** The maximum number of tasks of a job (PROTOCOL, `Chores`). */
const val MAX_TASKS = 100_000

private val jobIdForm = Regex("j-[0-9]{1,18}")

/** Whether [text] has the form of a job id, such as `j-000412`. */
fun isJobId(text: String): Boolean = jobIdForm.matches(text)
