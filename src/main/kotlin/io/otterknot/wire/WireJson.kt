package io.otterknot.wire

import kotlinx.serialization.json.Json

/**
 * The JSON format of all messages and records: unknown fields are ignored, null fields are omitted, and an absent
 * nullable field is read as null unless it has another default.
 */
val WireJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}

/** Thrown for a message that violates the protocol; [message] is sent to the sender. Has no stack trace. */
class MalformedMessageException(message: String) : Exception(message, null, false, false)
