package io.otterknot.wire

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/**
 * The JSON format of all messages and records: unknown fields are ignored, null fields are omitted, and an absent
 * nullable field is read as null unless it has another default.
 *
 * Text from outside that is decoded to a [JsonElement], or to a message that contains one, must be read with
 * [parseJson] or [decodeJson], since the library's recursion is bounded only by the nesting of the text.
 */
val WireJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}

/**
 * Parses [text], whatever its nesting: arrays and objects more than [MAX_JSON_NESTING] levels deep are read as null.
 *
 * @throws SerializationException if [text] is not JSON
 */
fun parseJson(text: String): JsonElement = WireJson.parseToJsonElement(limitJsonNesting(text))

/**
 * Decodes a message from [text], whatever the nesting of its unknown fields; see [parseJson].
 *
 * @throws SerializationException if [text] is not JSON or not such a message
 */
fun <T> decodeJson(serializer: DeserializationStrategy<T>, text: String): T =
    WireJson.decodeFromString(serializer, limitJsonNesting(text))

/** Thrown for a message that violates the protocol; [message] is sent to the sender. Has no stack trace. */
class MalformedMessageException(message: String) : Exception(message, null, false, false)
