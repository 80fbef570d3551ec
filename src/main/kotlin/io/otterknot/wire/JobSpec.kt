package io.otterknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Priorities, the most urgent first. */
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
        /** The priorities by the strings that stand for them on the wire. */
        val byWire = mapOf("prod" to PRODUCTION, "high" to HIGH, "normal" to NORMAL, "best_effort" to BEST_EFFORT)
    }
}

/** A job as its user describes it. */
@Serializable
data class JobSpec(
    @SerialName("Uid") val id: String,
    /** The class of the job, which selects its service-level objectives. */
    @SerialName("Ilk") val jobClass: String,
    @SerialName("Crew") val team: String,
    @SerialName("Rank") val priority: Priority,
    @SerialName("Chores") val tasks: Int,
    /** CPU cores of one task, as all amounts here. */
    @SerialName("Cores") val cores: Double,
    /** GPUs of one task. */
    @SerialName("Cards") val cards: Double = 0.0,
    @SerialName("MemoryGb") val memoryGb: Double,
    /** Name of the image that a machine must have before a task can start. */
    @SerialName("Pelt") val image: String,
    @SerialName("SizeGb") val imageGb: Double,
    /** Names of the machine types that are allowed; null: all. */
    @SerialName("Breeds") val types: List<String>? = null,
    /** The only zone that is allowed; null: all are. */
    @SerialName("Reach") val zone: String? = null,
    /** Whether all tasks must be in the same zone. */
    @SerialName("SamePlace") val sameZone: Boolean = false,
    /** Whether tasks must be spread across zones, see [maxTasksPerZone]. */
    @SerialName("Scatter") val spreadAcrossZones: Boolean = false,
    /** Whether spot machines are allowed. */
    @SerialName("Driftwood") val spot: Boolean = false,
    /** The owner's estimate of the run time of one task; often wrong by half. */
    @SerialName("GuessS") val estimateS: Double,
    /** Seconds of progress between checkpoints; 0: the tasks write none and lose their work when stopped. */
    @SerialName("CacheS") val checkpointS: Double = 0.0,
    /** Seconds that a task needs to write a checkpoint when it is stopped. */
    @SerialName("StashS") val saveS: Double = 0.0,
    /** Seconds from the submission until the job should be done; null: no due time. */
    @SerialName("DueS") val dueS: Double? = null,
    /** Ids of the jobs that must be done before any task of this one starts, each once; null: none. */
    @SerialName("Awaits") val dependencies: List<String>? = null,
) {
    /** The most tasks that may be in one zone at a time. */
    val maxTasksPerZone: Int get() = if (spreadAcrossZones) (tasks + 1) / 2 else tasks
}

/** The most tasks of a job (PROTOCOL, `Chores`). */
const val MAX_TASKS = 100_000

private val jobIdForm = Regex("j-[0-9]{1,18}")

/** Whether [text] has the form of a job's id, such as `j-000412`. */
fun isJobId(text: String): Boolean = jobIdForm.matches(text)
