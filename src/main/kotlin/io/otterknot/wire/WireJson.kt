package io.otterknot.wire

import kotlinx.serialization.json.Json

/** The one JSON dialect of the service: unknown fields are ignored and absent fields stand for null. */
val WireJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}

/** A message that does not follow the protocol. The text is told to the sender. */
class MalformedMessageException(message: String) : Exception(message, null, false, false)
