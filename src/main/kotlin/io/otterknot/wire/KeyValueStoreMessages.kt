package io.otterknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

@Serializable
data class KeyValue(
    @SerialName("Key") val key: String,
    @SerialName("V") val value: JsonElement,
    @SerialName("Mark") val version: Long,
    @SerialName("Tenure") val lease: Long? = null,
)

@Serializable
data class KeyValuePage(
    @SerialName("Pairs") val items: List<KeyValue>,
    @SerialName("More") val more: Boolean = false,
    @SerialName("Tide") val revision: Long,
)

@Serializable
data class VersionCondition(@SerialName("Key") val key: String, @SerialName("Mark") val version: Long)

@Serializable
data class KeyChange(
    @SerialName("Put") val put: String? = null,
    @SerialName("V") val value: JsonElement? = null,
    @SerialName("Tenure") val lease: Long? = null,
    @SerialName("Remove") val remove: String? = null,
    @SerialName("Mark") val version: Long? = null,
) {
    val key: String get() = put ?: remove.orEmpty()
}

@Serializable
data class TransactionRequest(
    @SerialName("Guards") val conditions: List<VersionCondition>,
    @SerialName("Then") val changes: List<KeyChange>,
)

@Serializable
data class RevisionResponse(@SerialName("Tide") val revision: Long, val failed: List<String> = emptyList())

@Serializable
data class LeaseRequest(@SerialName("TtlMs") val ttlMs: Long)

@Serializable
data class LeaseGrant(@SerialName("Tenure") val lease: Long)

@Serializable
data class WatchEvents(
    @SerialName("Tide") val revision: Long,
    @SerialName("Log") val events: List<KeyChange> = emptyList(),
)
