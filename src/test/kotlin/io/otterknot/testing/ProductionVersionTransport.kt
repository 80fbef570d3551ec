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
 * The state service as the version in production sees it: fields that came later are ignored when they are read, and so
 * are gone when a record is written anew; keys that came later are never asked for or written.
 */
class ProductionVersionTransport(private val link: Transport) : Transport {
    override suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        val sent = if (target == "/txn" &&
            body != null
        ) {
            strip(WireJson.parseToJsonElement(body.decodeToString())).toString().encodeToByteArray()
        } else {
            body
        }
        val reply = link.call(method, target, sent, timeoutMs)
        if (reply !is Reply.Answer || !(target.startsWith("/watch") || target.startsWith("/store?"))) return reply
        return Reply.Answer(reply.status, strip(WireJson.parseToJsonElement(reply.text)).toString().encodeToByteArray())
    }

    companion object {
        /** A message of the state service with each of its values as production reads and writes it. */
        fun strip(message: JsonElement): JsonElement = when (message) {
            is JsonArray -> JsonArray(message.filterNot(::isLater).map(::strip))

            is JsonObject -> {
                val key = (message["Key"] ?: message["Put"]) as? JsonPrimitive
                JsonObject(
                    message.mapValues { (name, value) ->
                        if (name == "V" &&
                            key != null
                        ) {
                            record(key.content, value)
                        } else {
                            strip(value)
                        }
                    },
                )
            }

            else -> message
        }

        private fun isLater(item: JsonElement): Boolean = (item as? JsonObject)?.let {
            (it["Key"] ?: it["Put"] ?: it["Remove"]) as? JsonPrimitive
        }?.content.orEmpty().startsWith("o/w/")

        /** The value of one key. */
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
