package io.otterknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** A key of the store with its value (PROTOCOL, "GET /store/{key}"). */
@Serializable
data class KeyValue(
    @SerialName("Key") val key: String,
    @SerialName("V") val value: JsonElement,
    /** The revision of the store at the key's last change. */
    @SerialName("Mark") val version: Long,
    /** The lease with which the key is removed, or null if the key has no lease. */
    @SerialName("Tenure") val lease: Long? = null,
)

/** One page of the keys under a prefix, in key order; [more] is true if further pages follow. */
@Serializable
data class KeyValuePage(
    @SerialName("Pairs") val items: List<KeyValue>,
    @SerialName("More") val more: Boolean = false,
    /** The revision of the store that the page shows. */
    @SerialName("Tide") val revision: Long,
)

/** A condition of a transaction: the key has [version], or does not exist if [version] is 0. */
@Serializable
data class VersionCondition(@SerialName("Key") val key: String, @SerialName("Mark") val version: Long)

/** A change of one key in a transaction or in the events of a watch; either [put] or [remove] holds the key. */
@Serializable
data class KeyChange(
    @SerialName("Put") val put: String? = null,
    @SerialName("V") val value: JsonElement? = null,
    @SerialName("Tenure") val lease: Long? = null,
    @SerialName("Remove") val remove: String? = null,
    /** The revision of the change; set only in the events of a watch. */
    @SerialName("Mark") val version: Long? = null,
) {
    /** The key that changes. */
    val key: String get() = put ?: remove.orEmpty()
}

/** The body of `POST /txn`: applies all [changes] if all [conditions] hold, otherwise none. */
@Serializable
data class TransactionRequest(
    @SerialName("Guards") val conditions: List<VersionCondition>,
    @SerialName("Then") val changes: List<KeyChange>,
)

/** The response to a transaction or for a key that does not exist; [failed]: the keys whose condition did not hold. */
@Serializable
data class RevisionResponse(@SerialName("Tide") val revision: Long, val failed: List<String> = emptyList())

/** The body of `POST /holds`. */
@Serializable
data class LeaseRequest(@SerialName("TtlMs") val ttlMs: Long)

/** The response to `POST /holds`: the id of the lease. */
@Serializable
data class LeaseGrant(@SerialName("Tenure") val lease: Long)

/** The response to `GET /watch`: the changes under the watched prefix up to [revision]. */
@Serializable
data class WatchEvents(
    @SerialName("Tide") val revision: Long,
    @SerialName("Log") val events: List<KeyChange> = emptyList(),
)
