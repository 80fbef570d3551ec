package io.otterknot.records

import io.otterknot.wire.WireJson
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonElement

fun <T> encodeRecord(serializer: KSerializer<T>, record: T): JsonElement =
    WireJson.encodeToJsonElement(serializer, record)

/** Throws [kotlinx.serialization.SerializationException] if [value] is not such a record; ignores unknown fields. */
fun <T> decodeRecord(serializer: KSerializer<T>, value: JsonElement): T =
    WireJson.decodeFromJsonElement(serializer, value)
