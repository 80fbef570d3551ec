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

/** A state service in memory, on virtual time, that can be away, lose answers and apply transactions late. */
class FakeKeyValueStore(private val scope: CoroutineScope, private val random: Random, private val nowMs: () -> Long) {
    private class Kept(val value: JsonElement, val version: Long, val lease: Long?)
    private class Lease(val ttlMs: Long, var endsMs: Long)

    private val data = TreeMap<String, Kept>()
    private val leases = HashMap<Long, Lease>()
    private val log = ArrayList<KeyChange>()
    private var nextLease = 1L
    var revision = 0L
        private set
    private var away = false

    /** One node for which every request is refused. */
    var refusedFor: String? = null

    /** One node whose watches wait, open ones and new ones, while all else that it asks is answered. */
    var watchless: String? = null

    /** Share of transactions whose answer is lost, half of them applied up to some seconds later. */
    var lossy = 0.0

    /**
     * Share of transactions that get no answer and are carried out 2 to 12 s later, after newer ones of the same node.
     */
    var lateWrites = 0.0

    /** How much longer than usual every answer takes. */
    var slowMs = 0L

    /** How long an answer may be on its way back, after the request was carried out; past its limit it is lost. */
    var answerMs = 0L

    /** How long the answers of watches may be on their way; what they say is older by then. */
    var watchAnswerMs = 0L

    /** Share of transactions that are carried out at once and whose answer alone is lost. */
    var unanswered = 0.0

    /** Share of transactions that are carried out once more, up to some seconds later. */
    var repeated = 0.0

    /** How many changes it remembers for watches; what asks for older ones has to read everything again. */
    var keptChanges = Int.MAX_VALUE

    /** The most keys of a page, whatever is asked for. */
    var pageKeys = Int.MAX_VALUE

    /** Told of each key that is put over an earlier value. */
    var onOverwrite: (key: String, before: JsonElement, after: JsonElement) -> Unit = { _, _, _ -> }

    /** The most bytes of a value, and changes of a transaction: more gets 400. */
    var maxValueBytes = Int.MAX_VALUE
    var maxOps = Int.MAX_VALUE

    /** The most changes a second: more gets 429. */
    var maxWritesPerS = Double.MAX_VALUE
    private var writes = 0.0
    private var writesMs = 0L

    /** What was refused for its size. */
    val tooLarge = ArrayList<String>()

    private fun refusal(txn: TransactionRequest): Reply? {
        val large = txn.changes.filter { it.value.toString().length > maxValueBytes }.map { it.key }
        if (large.isNotEmpty() || txn.changes.size > maxOps) {
            tooLarge.add("${txn.changes.size} changes, too large: $large")
            return answer(400, """{"error":"too large"}""")
        }
        writes = maxOf(0.0, writes - (nowMs() - writesMs) * maxWritesPerS / 1000)
        writesMs = nowMs()
        if (writes + txn.changes.size > maxWritesPerS) return answer(429, """{"error":"too many"}""")
        writes += txn.changes.size
        return null
    }

    fun outage(on: Boolean) {
        away = on
        // After an outage every lease has its full time again.
        if (!on) leases.values.forEach { it.endsMs = nowMs() + it.ttlMs }
    }

    /** What somebody else has stored, whatever was there. */
    fun store(vararg changes: KeyChange) {
        commit(TransactionRequest(emptyList(), changes.toList()))
    }

    fun value(key: String): JsonElement? = data[key]?.value

    /** When each node last renewed a lease. */
    val renewedMs = HashMap<String, Long>()

    /** Everything that is stored, by key. */
    fun contents(): Map<String, JsonElement> = data.mapValues { it.value.value }

    fun link(node: String) = Transport { method, target, body, timeoutMs ->
        val watches = target.startsWith("/watch")
        val reply = withTimeoutOrNull(timeoutMs) {
            delay(2 + random.nextLong(6) + if (watches) 0 else slowMs)
            val reply = serve(node, method, target, body, timeoutMs)
            val mostBackMs = if (watches) watchAnswerMs else answerMs
            if (mostBackMs > 0) delay(random.nextLong(mostBackMs))
            reply
        }
        reply ?: Reply.None("no answer in time")
    }

    private suspend fun serve(node: String, method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        if (away || refusedFor == node) return answer(503, """{"error":"trouble"}""")
        expire()
        val path = target.substringBefore('?')
        val query = target.substringAfter('?', "").split('&').filter { '=' in it }.associate {
            it.substringBefore('=') to
                it.substringAfter('=')
        }
        return when {
            path == "/txn" -> {
                val txn = WireJson.decodeFromString(TransactionRequest.serializer(), body!!.decodeToString())
                refusal(txn)?.let { return it }
                if (lateWrites > 0 && random.nextDouble() < lateWrites) {
                    scope.launch {
                        delay(2_000 + random.nextLong(10_000))
                        if (!away) commit(txn)
                    }
                    delay(timeoutMs)
                    return Reply.None("late")
                }
                if (random.nextDouble() < lossy) {
                    if (random.nextBoolean()) {
                        scope.launch {
                            delay(random.nextLong(8_000))
                            if (!away) commit(txn)
                        }
                    }
                    delay(timeoutMs)
                    return Reply.None("lost")
                }
                if (random.nextDouble() < repeated) {
                    scope.launch {
                        delay(random.nextLong(6_000))
                        if (!away) commit(txn)
                    }
                }
                val reply = commit(txn)
                if (random.nextDouble() < unanswered) delay(timeoutMs)
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
                renewedMs[node] = nowMs()
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
                val page = items.take(minOf(query.getValue("Page").toInt(), pageKeys)).map {
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
            val waits = away || refusedFor == node || watchless == node
            val news = if (waits) emptyList() else log.filter { it.version!! > after && it.key.startsWith(under) }
            if (news.isNotEmpty() || (nowMs() >= until && !waits)) {
                return answer(200, WireJson.encodeToString(WatchEvents.serializer(), WatchEvents(revision, news)))
            }
            delay(10)
        }
    }

    private fun commit(txn: TransactionRequest): Reply {
        expire()
        val leaseEnded = txn.changes.any { it.put != null && it.lease != null && it.lease !in leases }
        if (leaseEnded) return answer(400, """{"error":"no such lease"}""")
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
                data[put] = Kept(change.value!!, revision, change.lease)
                log.add(KeyChange(put = put, value = change.value, version = revision))
            } else if (data.remove(change.key) != null) {
                log.add(KeyChange(remove = change.key, version = revision))
            }
        }
        return answer(200, """{"Tide":$revision}""")
    }

    private fun expire() {
        if (away) return
        val ended = leases.filterValues { it.endsMs < nowMs() }.keys
        if (ended.isEmpty()) return
        leases.keys.removeAll(ended)
        for (key in data.filterValues { it.lease in ended }.keys.toList()) {
            revision++
            data.remove(key)
            log.add(KeyChange(remove = key, version = revision))
        }
    }

    private fun answer(status: Int, text: String) = Reply.Answer(status, text.encodeToByteArray())
}
