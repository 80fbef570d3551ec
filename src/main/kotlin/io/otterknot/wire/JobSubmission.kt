package io.otterknot.wire

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * The maximum size of a request body. A longer body is refused: without being read if `Content-Length` announces it, or
 * else as soon as more bytes have arrived.
 */
const val MAX_BODY_BYTES = 64 * 1024

/** The maximum length of a name or other text in a message, in characters; the keys of the store have the same. */
internal const val MAX_TEXT_LENGTH = 200

/**
 * Decodes and checks a submission.
 *
 * @throws MalformedMessageException if the body is not a JSON object, or naming the first field that is missing, of the
 *   wrong type or out of range
 */
fun parseSubmission(body: ByteArray): JobSpec {
    val fields = SubmissionFields(parseObject(body))
    val id = readId(fields)
    if (fields.text("Sort") != "sweep") throw MalformedMessageException("Sort is unknown")
    return JobSpec(
        id = id,
        jobClass = fields.text("Ilk"),
        team = fields.text("Crew"),
        priority = readPriority(fields),
        tasks = fields.count("Chores", 1, MAX_TASKS),
        cores = fields.amount("Cores"),
        gpus = fields.amount("Cards"),
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
        dependencies = readDependencies(fields),
    )
}

/** Returns the id of a submission that may be malformed in other respects, or null if it has none. */
fun peekSubmissionId(body: ByteArray): String? = try {
    val fields = parseJson(body.decodeToString()) as? JsonObject
    (fields?.get("Uid") as? JsonPrimitive)?.takeIf { it.isString }?.content
} catch (_: SerializationException) {
    // parseSubmission reports the error.
    null
}

private fun parseObject(body: ByteArray): JsonObject =
    parseElement(body) as? JsonObject ?: throw MalformedMessageException("not a JSON object")

private fun parseElement(body: ByteArray): JsonElement = try {
    val text = body.decodeToString(throwOnInvalidSequence = true)
    if (!hasValidJsonTokens(text)) throw MalformedMessageException("not JSON")
    parseJson(text)
} catch (_: SerializationException) {
    throw MalformedMessageException("not JSON")
} catch (_: CharacterCodingException) {
    throw MalformedMessageException("not UTF-8")
}

private fun readId(fields: SubmissionFields): String {
    val id = fields.text("Uid")
    if (!isJobId(id)) throw MalformedMessageException("Uid is not of the form j-000412")
    return id
}

private fun readPriority(fields: SubmissionFields): Priority =
    Priority.byWire[fields.text("Rank")] ?: throw MalformedMessageException("Rank is unknown")

/** Returns the ids of the jobs that the submission depends on without duplicates, or null if there are none. */
private fun readDependencies(fields: SubmissionFields): List<String>? {
    val ids = fields.names("Awaits")?.distinct() ?: return null
    ids.firstOrNull { !isJobId(it) }?.let {
        throw MalformedMessageException("Awaits names $it, which is not of the form j-000412")
    }
    return ids.ifEmpty { null }
}

/** The fields of a submission; each function throws [MalformedMessageException] if the field is invalid. */
private class SubmissionFields(private val source: JsonObject) {
    private fun optional(name: String): JsonElement? = source[name]?.takeUnless { it is JsonNull }

    private fun required(name: String): JsonElement =
        optional(name) ?: throw MalformedMessageException("$name is missing")

    fun text(name: String): String = asText(name, required(name))

    fun optionalText(name: String): String? = optional(name)?.let { asText(name, it) }

    fun amount(name: String): Double = asAmount(name, required(name))

    fun optionalAmount(name: String): Double? = optional(name)?.let { asAmount(name, it) }

    fun count(name: String, min: Int, max: Int): Int {
        val value = (required(name) as? JsonPrimitive)?.takeUnless { it.isString }?.content?.toLongOrNull()
            ?: throw MalformedMessageException("$name is not an integer")
        if (value !in min..max) throw MalformedMessageException("$name is not between $min and $max")
        return value.toInt()
    }

    fun flag(name: String): Boolean = when ((required(name) as? JsonPrimitive)?.takeUnless { it.isString }?.content) {
        "true" -> true
        "false" -> false
        else -> throw MalformedMessageException("$name is not true or false")
    }

    fun names(name: String): List<String>? {
        val list = optional(name) ?: return null
        return (list as? JsonArray ?: throw MalformedMessageException("$name is not a list")).map { asText(name, it) }
    }

    private fun asText(name: String, value: JsonElement): String {
        val text = (value as? JsonPrimitive)?.takeIf { it.isString }?.content
            ?: throw MalformedMessageException("$name is not a string")
        if (text.isEmpty() || text.length > MAX_TEXT_LENGTH) {
            throw MalformedMessageException("$name is empty or too long")
        }
        return text
    }

    private fun asAmount(name: String, value: JsonElement): Double {
        val number = (value as? JsonPrimitive)?.takeUnless { it.isString }?.content?.toDoubleOrNull()
            ?: throw MalformedMessageException("$name is not a number")
        if (!number.isFinite() || number < 0) throw MalformedMessageException("$name is negative or not finite")
        return number
    }
}
