package io.otterknot.testing

import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.wire.WireJson
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject

/**
 * Connects a controller to the state service as the version in production would be connected: fields that were added
 * after that version are removed from what is read and written, so they are lost when a record is rewritten, and keys
 * that were added later are neither read nor written.
 */
class ProductionVersionTransport(private val link: Transport) : Transport {
    override suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        val sent = if (target == "/txn" && body != null) {
            strip(WireJson.parseToJsonElement(body.decodeToString())).toString().encodeToByteArray()
        } else {
            body
        }
        val reply = link.call(method, target, sent, timeoutMs)
        if (reply !is Reply.Answer || !(target.startsWith("/watch") || target.startsWith("/store?"))) return reply
        return Reply.Answer(reply.status, strip(WireJson.parseToJsonElement(reply.text)).toString().encodeToByteArray())
    }

    companion object {
        /** Returns [message] with the keys and fields removed that the version in production does not have. */
        fun strip(message: JsonElement): JsonElement = when (message) {
            is JsonArray -> JsonArray(message.filterNot(::isAddedLater).map(::strip))

            is JsonObject -> {
                val key = (message["Key"] ?: message["Put"]) as? JsonPrimitive
                JsonObject(
                    message.mapValues { (name, value) ->
                        if (name == "V" && key != null) {
                            record(key.content, value)
                        } else {
                            strip(value)
                        }
                    },
                )
            }

            else -> message
        }

        private fun isAddedLater(item: JsonElement): Boolean = (item as? JsonObject)?.let {
            (it["Key"] ?: it["Put"] ?: it["Remove"]) as? JsonPrimitive
        }?.content.orEmpty().startsWith("o/w/")

        /** Returns the stored [value] of [key] without the fields that the version in production does not have. */
        fun record(key: String, value: JsonElement): JsonElement = when {
            key.startsWith("o/j/") -> {
                val kept = value.jsonObject - setOf("w", "e")
                JsonObject(kept + (kept["s"] as? JsonObject)?.let { mapOf("s" to JsonObject(it - "Awaits")) }.orEmpty())
            }

            key.startsWith("o/d/") -> JsonObject(value.jsonObject - "f")

            key.startsWith("o/s/") -> JsonObject(value.jsonObject - "l")

            else -> value
        }
    }
}
