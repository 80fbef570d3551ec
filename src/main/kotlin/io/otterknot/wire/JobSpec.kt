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
    @SerialName("Ilk") val jobClass: String,
    @SerialName("Crew") val team: String,
    @SerialName("Rank") val priority: Priority,
    @SerialName("Chores") val tasks: Int,
    @SerialName("Cores") val cores: Double,
    @SerialName("Cards") val cards: Double = 0.0,
    @SerialName("MemoryGb") val memoryGb: Double,
    @SerialName("Pelt") val image: String,
    @SerialName("SizeGb") val imageGb: Double,
    @SerialName("Breeds") val types: List<String>? = null,
    @SerialName("Reach") val zone: String? = null,
    @SerialName("SamePlace") val sameZone: Boolean = false,
    @SerialName("Scatter") val spreadAcrossZones: Boolean = false,
    @SerialName("Driftwood") val spot: Boolean = false,
    @SerialName("GuessS") val estimateS: Double,
    @SerialName("CacheS") val checkpointS: Double = 0.0,
    @SerialName("StashS") val saveS: Double = 0.0,
    @SerialName("DueS") val dueS: Double? = null,
    /** Jobs that must be done before any task of this one starts; each once. */
    @SerialName("Awaits") val dependencies: List<String>? = null,
) {
    /** With `Scatter`, the most tasks that may be in one zone at a time. */
    val maxTasksPerZone: Int get() = if (spreadAcrossZones) (tasks + 1) / 2 else tasks
}

/** The most tasks of a job (PROTOCOL, `Chores`). */
const val MAX_TASKS = 100_000

private val jobIdForm = Regex("j-[0-9]{1,18}")

/** Whether [text] has the form of a job's id, such as `j-000412`. */
fun isJobId(text: String): Boolean = jobIdForm.matches(text)
