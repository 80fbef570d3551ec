package io.otterknot.store

import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.metrics.Metrics
import io.otterknot.ratelimit.RateLimiter
import io.otterknot.wire.KeyChange
import io.otterknot.wire.KeyValuePage
import io.otterknot.wire.LeaseGrant
import io.otterknot.wire.LeaseRequest
import io.otterknot.wire.RevisionResponse
import io.otterknot.wire.TransactionRequest
import io.otterknot.wire.VersionCondition
import io.otterknot.wire.WatchEvents
import io.otterknot.wire.WireJson
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

/** What came of a transaction. */
sealed interface TransactionOutcome {
    data class Applied(val revision: Long) : TransactionOutcome
    data class Conflict(val failed: List<String>, val revision: Long) : TransactionOutcome

    /** Not carried out, and never will be. */
    data class Refused(val status: Int) : TransactionOutcome {
        /** Of a transaction without a lease: a value or the whole is larger than the service takes now. */
        val tooLarge: Boolean get() = status == 400
    }

    /** Carried out, or still to be carried out, or not: only reading tells. */
    data class Unknown(val why: String) : TransactionOutcome
}

sealed interface LeaseRenewal {
    data object Renewed : LeaseRenewal
    data object Gone : LeaseRenewal
    data object Failed : LeaseRenewal
}

sealed interface WatchResult {
    class Events(val events: WatchEvents) : WatchResult
    data object TooOld : WatchResult
    class Failed(val why: String) : WatchResult
}

/** The state service's interface, within this node's share of its limits. */
class KeyValueStoreClient(
    private val http: Transport,
    private val watchHttp: Transport,
    val budget: RateLimiter,
    val figures: Metrics,
) {

    suspend fun list(prefix: String, after: String?): KeyValuePage? {
        budget.acquire()
        figures.count("lists")
        val from = if (after == null) "" else "&After=$after"
        return decode(KeyValuePage.serializer(), call(http, "GET", "/store?Under=$prefix$from&Page=200", null, LIST_MS))
    }

    /** The revision that the service has reached, read from an absent key; null if it does not say. */
    suspend fun revision(): Long? {
        budget.acquire()
        return readRevision()
    }

    /** The same for the lease's sake, which waits for nobody's turn. */
    suspend fun revisionAtOnce(): Long? {
        budget.acquireWithoutWaiting()
        return readRevision()
    }

    private suspend fun readRevision(): Long? {
        figures.count("barrier reads")
        val reply = call(http, "GET", "/store/o/none", null, READ_MS)
        if (reply !is Reply.Answer || reply.status != 404) return null
        return parse(RevisionResponse.serializer(), reply)?.revision
    }

    /** Carries [change] out if all its guards hold. The caller has taken its place in [budget]. */
    suspend fun txn(change: CompareAndSwap): TransactionOutcome = send(change.guards, change.changes)

    /** Whether all of [guards] hold at some moment after the call. The caller has taken its place in [budget]. */
    suspend fun compare(guards: List<VersionCondition>): TransactionOutcome = send(guards, emptyList())

    private suspend fun send(guards: List<VersionCondition>, changes: List<KeyChange>): TransactionOutcome {
        figures.count("transactions")
        figures.count("changes", changes.size)
        val body = WireJson.encodeToString(
            TransactionRequest.serializer(),
            TransactionRequest(guards, changes),
        ).encodeToByteArray()
        return when (val reply = call(http, "POST", "/txn", body, TXN_MS)) {
            is Reply.None -> TransactionOutcome.Unknown(reply.why)

            is Reply.Answer -> when (reply.status) {
                200 -> parse(RevisionResponse.serializer(), reply)?.let { TransactionOutcome.Applied(it.revision) }
                    ?: TransactionOutcome.Unknown("unreadable answer")

                409 -> parse(RevisionResponse.serializer(), reply)?.let {
                    TransactionOutcome.Conflict(it.failed, it.revision)
                }
                    ?: TransactionOutcome.Unknown("unreadable answer")

                400, 429, 503 -> TransactionOutcome.Refused(reply.status)

                else -> TransactionOutcome.Unknown("status ${reply.status}")
            }
        }
    }

    suspend fun grantLease(ttlMs: Long): Long? {
        budget.acquireWithoutWaiting()
        val body = WireJson.encodeToString(LeaseRequest.serializer(), LeaseRequest(ttlMs)).encodeToByteArray()
        return decode(LeaseGrant.serializer(), call(http, "POST", "/holds", body, GRANT_MS))?.lease
    }

    suspend fun renewLease(lease: Long): LeaseRenewal {
        budget.acquireWithoutWaiting()
        figures.count("renewals")
        val reply = call(http, "POST", "/holds/$lease/extend", EMPTY, RENEW_MS)
        return when ((reply as? Reply.Answer)?.status) {
            200 -> LeaseRenewal.Renewed
            404 -> LeaseRenewal.Gone
            else -> LeaseRenewal.Failed
        }
    }

    suspend fun watch(prefix: String, after: Long, waitMs: Long): WatchResult {
        budget.acquire()
        figures.count("watches")
        val reply = call(
            watchHttp,
            "GET",
            "/watch?Under=$prefix&After=$after&WaitMs=$waitMs",
            null,
            waitMs + WATCH_SLACK_MS,
        )
        return when {
            reply is Reply.None -> WatchResult.Failed(reply.why)

            reply is Reply.Answer && reply.status == 410 -> WatchResult.TooOld

            reply is Reply.Answer && reply.status == 200 ->
                parse(WatchEvents.serializer(), reply)?.let { WatchResult.Events(it) }
                    ?: WatchResult.Failed("unreadable answer")

            else -> WatchResult.Failed("status ${(reply as Reply.Answer).status}")
        }
    }

    private suspend fun call(
        link: Transport,
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
    ): Reply {
        val reply = link.call(method, target, body, timeoutMs)
        if (reply is Reply.Answer && reply.status == TOO_MANY_REQUESTS) budget.refused()
        return reply
    }

    private fun <T> decode(serializer: KSerializer<T>, reply: Reply): T? =
        if (reply is Reply.Answer && reply.status == 200) parse(serializer, reply) else null

    private fun <T> parse(serializer: KSerializer<T>, reply: Reply.Answer): T? = try {
        WireJson.decodeFromString(serializer, reply.text)
    } catch (e: SerializationException) {
        null
    }

    private companion object {
        val EMPTY = ByteArray(0)
        const val TOO_MANY_REQUESTS = 429
        const val LIST_MS = 10_000L
        const val READ_MS = 1_500L
        const val TXN_MS = 2_500L
        const val GRANT_MS = 2_000L
        const val RENEW_MS = 1_500L
        const val WATCH_SLACK_MS = 3_000L
    }
}
