package io.otterknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

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

const val MAX_TASKS = 100_000
const val MAX_BODY_BYTES = 64 * 1024

private val jobIdForm = Regex("j-[0-9]{1,18}")

fun isJobId(text: String): Boolean = jobIdForm.matches(text)

/** Reads a submission, strictly: what is missing, of the wrong type or out of range is named in [MalformedMessageException]. */
fun parseSubmission(body: ByteArray): JobSpec {
    val element: JsonElement = try {
        WireJson.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true))
    } catch (e: SerializationException) {
        throw MalformedMessageException("not JSON")
    } catch (e: CharacterCodingException) {
        throw MalformedMessageException("not UTF-8")
    }
    val fields = Fields(element as? JsonObject ?: throw MalformedMessageException("not a JSON object"))
    val id = fields.text("Uid")
    if (!isJobId(id)) throw MalformedMessageException("Uid is not of the form j-000412")
    if (fields.text("Sort") != "sweep") throw MalformedMessageException("Sort is unknown")
    return JobSpec(
        id = id,
        jobClass = fields.text("Ilk"),
        team = fields.text("Crew"),
        priority = Priority.byWire[fields.text("Rank")] ?: throw MalformedMessageException("Rank is unknown"),
        tasks = fields.count("Chores", 1, MAX_TASKS),
        cores = fields.amount("Cores"),
        cards = fields.amount("Cards"),
        memoryGb = fields.amount("MemoryGb"),
        image = fields.text("Pelt"),
        imageGb = fields.amount("SizeGb"),
        types = fields.names("Breeds"),
        zone = fields.optionalText("Reach"),
        sameZone = fields.flag("SamePlace"),
        spreadAcrossZones = fields.flag("Scatter"),
        spot = fields.flag("Driftwood"),
        estimateS = fields.amount("GuessS"),
        checkpointS = fields.amount("CacheS"),
        saveS = fields.amount("StashS"),
        dueS = fields.optionalAmount("DueS"),
        dependencies = fields.names("Awaits")?.distinct()?.onEach {
            if (!isJobId(it)) throw MalformedMessageException("Awaits names $it, which is not of the form j-000412")
        }?.ifEmpty { null },
    )
}

private class Fields(private val source: JsonObject) {
    private fun present(name: String): JsonElement? = source[name]?.takeUnless { it is JsonNull }

    private fun required(name: String): JsonElement =
        present(name) ?: throw MalformedMessageException("$name is missing")

    fun text(name: String): String = asText(name, required(name))

    fun optionalText(name: String): String? = present(name)?.let { asText(name, it) }

    fun amount(name: String): Double = asAmount(name, required(name))

    fun optionalAmount(name: String): Double? = present(name)?.let { asAmount(name, it) }

    fun count(name: String, low: Int, high: Int): Int {
        val value = (required(name) as? JsonPrimitive)?.takeUnless { it.isString }?.content?.toLongOrNull()
            ?: throw MalformedMessageException("$name is not an integer")
        if (value !in low..high) throw MalformedMessageException("$name is not between $low and $high")
        return value.toInt()
    }

    fun flag(name: String): Boolean = when ((required(name) as? JsonPrimitive)?.takeUnless { it.isString }?.content) {
        "true" -> true
        "false" -> false
        else -> throw MalformedMessageException("$name is not true or false")
    }

    fun names(name: String): List<String>? {
        val list = present(name) ?: return null
        return (list as? JsonArray ?: throw MalformedMessageException("$name is not a list")).map { asText(name, it) }
    }

    private fun asText(name: String, value: JsonElement): String {
        val text =
            (value as? JsonPrimitive)?.takeIf { it.isString }?.content
                ?: throw MalformedMessageException("$name is not a string")
        if (text.isEmpty() || text.length > 200) throw MalformedMessageException("$name is empty or too long")
        return text
    }

    private fun asAmount(name: String, value: JsonElement): Double {
        val number = (value as? JsonPrimitive)?.takeUnless { it.isString }?.content?.toDoubleOrNull()
            ?: throw MalformedMessageException("$name is not a number")
        if (!number.isFinite() || number < 0) throw MalformedMessageException("$name is negative or not finite")
        return number
    }
}

/** What a user is told of a job. */
@Serializable
data class JobStatus(
    @SerialName("Uid") val id: String,
    @SerialName("Mood") val state: String,
    val done: Int? = null,
    val running: Int? = null,
)

@Serializable
data class Refusal(val error: String)
