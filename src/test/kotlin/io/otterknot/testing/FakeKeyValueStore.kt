package io.otterknot.testing

import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.wire.KeyChange
import io.otterknot.wire.KeyValue
import io.otterknot.wire.KeyValuePage
import io.otterknot.wire.LeaseRequest
import io.otterknot.wire.TransactionRequest
import io.otterknot.wire.WatchEvents
import io.otterknot.wire.WireJson
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonElement
import java.util.TreeMap
import kotlin.random.Random

/**
 * An in-memory state service on virtual time. Its faults can be set: outages, lost answers, delayed or duplicated
 * transactions, stalled watches, rejected writes.
 */
class FakeKeyValueStore(private val scope: CoroutineScope, private val random: Random, private val nowMs: () -> Long) {
    private class StoredValue(val value: JsonElement, val version: Long, val lease: Long?)
    private class Lease(val ttlMs: Long, var endsMs: Long)

    private val data = TreeMap<String, StoredValue>()
    private val leases = HashMap<Long, Lease>()
    private val log = ArrayList<KeyChange>()
    private var nextLease = 1L
    var revision = 0L
        private set
    private var unavailable = false

    /** The node whose every request gets 503, or null. */
    var refusedNode: String? = null

    /** The node whose watches, open and new, return nothing while its other requests are answered; or null. */
    var stalledWatchNode: String? = null

    /** Share of transactions whose answer is lost; half of these are applied up to 8 s later, the others never. */
    var lostTransactionShare = 0.0

    /**
     * Share of transactions that get no answer and are applied 2 to 12 s later, possibly after newer transactions of
     * the same node.
     */
    var delayedTransactionShare = 0.0

    /** How much every request except watches is delayed before it is handled. */
    var requestDelayMs = 0L

    /**
     * The longest random delay of an answer after the request was handled. An answer that arrives after the timeout of
     * the request is lost.
     */
    var maxAnswerDelayMs = 0L

    /** The longest random delay of a watch answer, whose content is stale by that time. */
    var maxWatchAnswerDelayMs = 0L

    /** Share of transactions that are applied immediately but whose answer is lost. */
    var lostAnswerShare = 0.0

    /** Share of transactions that are applied a second time up to 6 s later. */
    var duplicateTransactionShare = 0.0

    /** How many changes are retained for watches. A watch from an older revision gets 410 and needs a full read. */
    var keptChanges = Int.MAX_VALUE

    /** The most keys of a page, also if the request allows more. */
    var maxPageKeys = Int.MAX_VALUE

    /** Called for each put that replaces an earlier value. */
    var onOverwrite: (key: String, before: JsonElement, after: JsonElement) -> Unit = { _, _, _ -> }

    /** The largest value in bytes; a transaction with a larger one gets 400. */
    var maxValueBytes = Int.MAX_VALUE

    /** The most changes of a transaction; a larger transaction gets 400. */
    var maxTransactionChanges = Int.MAX_VALUE

    /** The most changes per second; a transaction that exceeds the rate gets 429. */
    var maxWritesPerS = Double.MAX_VALUE
    private var writeLevel = 0.0
    private var writeLevelMs = 0L

    /** A description of each transaction that was rejected because of its size. */
    val rejectedForSize = ArrayList<String>()

    private fun refusal(txn: TransactionRequest): Reply? {
        val large = txn.changes.filter { it.value.toString().length > maxValueBytes }.map { it.key }
        if (large.isNotEmpty() || txn.changes.size > maxTransactionChanges) {
            rejectedForSize.add("${txn.changes.size} changes, values over the size limit: $large")
            return answer(400, """{"error":"transaction too large"}""")
        }
        writeLevel = maxOf(0.0, writeLevel - (nowMs() - writeLevelMs) * maxWritesPerS / 1000)
        writeLevelMs = nowMs()
        if (writeLevel + txn.changes.size > maxWritesPerS) return answer(429, """{"error":"too many changes"}""")
        writeLevel += txn.changes.size
        return null
    }

    fun outage(on: Boolean) {
        unavailable = on
        // Every lease runs for its full TTL again after an outage.
        if (!on) leases.values.forEach { it.endsMs = nowMs() + it.ttlMs }
    }

    /** Stores [changes] unconditionally, as another client of the state service would. */
    fun store(vararg changes: KeyChange) {
        commit(TransactionRequest(emptyList(), changes.toList()))
    }

    fun value(key: String): JsonElement? = data[key]?.value

    /** When each node last renewed a lease, by node. */
    val lastRenewalMs = HashMap<String, Long>()

    /** All stored values by key. */
    fun contents(): Map<String, JsonElement> = data.mapValues { it.value.value }

    /** The connection of [node] to this state service. */
    fun link(node: String) = Transport { method, target, body, timeoutMs ->
        val watches = target.startsWith("/watch")
        val reply = withTimeoutOrNull(timeoutMs) {
            delay(2 + random.nextLong(6) + if (watches) 0 else requestDelayMs)
            val reply = serve(node, method, target, body, timeoutMs)
            val maxDelayMs = if (watches) maxWatchAnswerDelayMs else maxAnswerDelayMs
            if (maxDelayMs > 0) delay(random.nextLong(maxDelayMs))
            reply
        }
        reply ?: Reply.None("no answer within the timeout")
    }

    private suspend fun serve(node: String, method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        if (unavailable || refusedNode == node) return answer(503, """{"error":"state service unavailable"}""")
        expire()
        val path = target.substringBefore('?')
        val query = target.substringAfter('?', "").split('&').filter { '=' in it }.associate {
            it.substringBefore('=') to it.substringAfter('=')
        }
        return when {
            path == "/txn" -> {
                val txn = WireJson.decodeFromString(TransactionRequest.serializer(), body!!.decodeToString())
                if (body.size > MESSAGE_LIMIT_BYTES) {
                    rejectedForSize.add("${body.size} bytes")
                    return answer(400, """{"error":"transaction too large"}""")
                }
                refusal(txn)?.let { return it }
                if (delayedTransactionShare > 0 && random.nextDouble() < delayedTransactionShare) {
                    scope.launch {
                        delay(2_000 + random.nextLong(10_000))
                        if (!unavailable) commit(txn)
                    }
                    delay(timeoutMs)
                    return Reply.None("transaction delayed")
                }
                if (random.nextDouble() < lostTransactionShare) {
                    if (random.nextBoolean()) {
                        scope.launch {
                            delay(random.nextLong(8_000))
                            if (!unavailable) commit(txn)
                        }
                    }
                    delay(timeoutMs)
                    return Reply.None("answer lost")
                }
                if (random.nextDouble() < duplicateTransactionShare) {
                    scope.launch {
                        delay(random.nextLong(6_000))
                        if (!unavailable) commit(txn)
                    }
                }
                val reply = commit(txn)
                if (random.nextDouble() < lostAnswerShare) delay(timeoutMs)
                reply
            }

            path == "/holds" -> {
                val ttl = WireJson.decodeFromString(LeaseRequest.serializer(), body!!.decodeToString()).ttlMs
                val id = nextLease++
                leases[id] = Lease(ttl, nowMs() + ttl)
                answer(200, """{"Tenure":$id}""")
            }

            path.startsWith("/holds/") -> {
                val lease =
                    leases[path.removePrefix("/holds/").removeSuffix("/extend").toLong()] ?: return answer(404, "{}")
                lease.endsMs = nowMs() + lease.ttlMs
                lastRenewalMs[node] = nowMs()
                answer(200, "{}")
            }

            path == "/watch" -> watch(
                node,
                query.getValue("Under"),
                query.getValue("After").toLong(),
                query.getValue("WaitMs").toLong(),
            )

            path == "/store" -> {
                val under = query.getValue("Under")
                val items = data.tailMap(query["After"] ?: under, query["After"] == null).entries.takeWhile {
                    it.key.startsWith(under)
                }
                val page = items.take(minOf(query.getValue("Page").toInt(), maxPageKeys)).map {
                    KeyValue(it.key, it.value.value, it.value.version)
                }
                answer(
                    200,
                    WireJson.encodeToString(
                        KeyValuePage.serializer(),
                        KeyValuePage(page, page.size < items.size, revision),
                    ),
                )
            }

            else -> answer(404, """{"Tide":$revision}""")
        }
    }

    private suspend fun watch(node: String, under: String, after: Long, waitMs: Long): Reply {
        val until = nowMs() + waitMs
        while (true) {
            expire()
            if (log.size > keptChanges && log[log.size - keptChanges].version!! > after + 1) return answer(410, "{}")
            val stalled = unavailable || refusedNode == node || stalledWatchNode == node
            val events = if (stalled) emptyList() else log.filter { it.version!! > after && it.key.startsWith(under) }
            if (events.isNotEmpty() || (nowMs() >= until && !stalled)) {
                return answer(200, WireJson.encodeToString(WatchEvents.serializer(), WatchEvents(revision, events)))
            }
            delay(10)
        }
    }

    private fun commit(txn: TransactionRequest): Reply {
        expire()
        val hasExpiredLease = txn.changes.any { it.put != null && it.lease != null && it.lease !in leases }
        if (hasExpiredLease) return answer(400, """{"error":"no such lease"}""")
        val failed = txn.conditions.filter { (data[it.key]?.version ?: 0) != it.version }.map { it.key }
        if (failed.isNotEmpty()) {
            val keys = failed.joinToString(",") { "\"$it\"" }
            return answer(409, """{"failed":[$keys],"Tide":$revision}""")
        }
        if (txn.changes.isNotEmpty()) revision++
        for (change in txn.changes) {
            val put = change.put
            if (put != null) {
                data[put]?.let { onOverwrite(put, it.value, change.value!!) }
                data[put] = StoredValue(change.value!!, revision, change.lease)
                log.add(KeyChange(put = put, value = change.value, version = revision))
            } else if (data.remove(change.key) != null) {
                log.add(KeyChange(remove = change.key, version = revision))
            }
        }
        return answer(200, """{"Tide":$revision}""")
    }

    private fun expire() {
        if (unavailable) return
        val expiredLeases = leases.filterValues { it.endsMs < nowMs() }.keys
        if (expiredLeases.isEmpty()) return
        leases.keys.removeAll(expiredLeases)
        for (key in data.filterValues { it.lease in expiredLeases }.keys.toList()) {
            revision++
            data.remove(key)
            log.add(KeyChange(remove = key, version = revision))
        }
    }

    private fun answer(status: Int, text: String) = Reply.Answer(status, text.encodeToByteArray())
}
