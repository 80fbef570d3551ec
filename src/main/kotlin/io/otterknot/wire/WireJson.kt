package io.otterknot.wire

import kotlinx.serialization.json.Json

/** The settings of JSON for all messages and records: unknown fields are ignored, absent ones stand for null. */
val WireJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}

/** A message that does not follow the protocol; [message] is sent back to its sender. Carries no stack trace. */
class MalformedMessageException(message: String) : Exception(message, null, false, false)
