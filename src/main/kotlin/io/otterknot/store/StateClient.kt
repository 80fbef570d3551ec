package io.otterknot.store

import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.metrics.Figures
import io.otterknot.ratelimit.RateBudget
import io.otterknot.wire.Change
import io.otterknot.wire.Guard
import io.otterknot.wire.LeaseGrant
import io.otterknot.wire.LeaseRequest
import io.otterknot.wire.Revision
import io.otterknot.wire.StoredPage
import io.otterknot.wire.Txn
import io.otterknot.wire.WatchEvents
import io.otterknot.wire.WireJson
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

/** What came of a transaction. */
sealed interface TxnOutcome {
    data class Applied(val revision: Long) : TxnOutcome
    data class Conflict(val failed: List<String>, val revision: Long) : TxnOutcome

    /** Not carried out, and never will be. */
    data class Refused(val status: Int) : TxnOutcome {
        /** Of a transaction without a lease: a value or the whole is larger than the service takes now. */
        val tooLarge: Boolean get() = status == 400
    }

    /** Carried out, or still to be carried out, or not: only reading tells. */
    data class Unknown(val why: String) : TxnOutcome
}

sealed interface RenewOutcome {
    data object Renewed : RenewOutcome
    data object Gone : RenewOutcome
    data object Failed : RenewOutcome
}

sealed interface WatchOutcome {
    class Events(val events: WatchEvents) : WatchOutcome
    data object TooOld : WatchOutcome
    class Failed(val why: String) : WatchOutcome
}

/** The state service's interface, within this node's share of its limits. */
class StateClient(
    private val http: Transport,
    private val watchHttp: Transport,
    val budget: RateBudget,
    val figures: Figures,
) {

    suspend fun list(prefix: String, after: String?): StoredPage? {
        budget.take()
        figures.count("lists")
        val from = if (after == null) "" else "&After=$after"
        return decode(StoredPage.serializer(), call(http, "GET", "/store?Under=$prefix$from&Page=200", null, LIST_MS))
    }

    /** The revision that the service has reached, read from an absent key; null if it does not say. */
    suspend fun revision(): Long? {
        budget.take()
        return readRevision()
    }

    /** The same for the lease's sake, which waits for nobody's turn. */
    suspend fun revisionAtOnce(): Long? {
        budget.takeAtOnce()
        return readRevision()
    }

    private suspend fun readRevision(): Long? {
        figures.count("barrier reads")
        val reply = call(http, "GET", "/store/o/none", null, READ_MS)
        if (reply !is Reply.Answer || reply.status != 404) return null
        return parse(Revision.serializer(), reply)?.revision
    }

    /** Carries [change] out if all its guards hold. The caller has taken its place in [budget]. */
    suspend fun txn(change: GuardedChange): TxnOutcome = send(change.guards, change.changes)

    /** Whether all of [guards] hold at some moment after the call. The caller has taken its place in [budget]. */
    suspend fun compare(guards: List<Guard>): TxnOutcome = send(guards, emptyList())

    private suspend fun send(guards: List<Guard>, changes: List<Change>): TxnOutcome {
        figures.count("transactions")
        figures.count("changes", changes.size)
        val body = WireJson.encodeToString(Txn.serializer(), Txn(guards, changes)).encodeToByteArray()
        return when (val reply = call(http, "POST", "/txn", body, TXN_MS)) {
            is Reply.None -> TxnOutcome.Unknown(reply.why)

            is Reply.Answer -> when (reply.status) {
                200 -> parse(Revision.serializer(), reply)?.let { TxnOutcome.Applied(it.revision) }
                    ?: TxnOutcome.Unknown("unreadable answer")

                409 -> parse(Revision.serializer(), reply)?.let { TxnOutcome.Conflict(it.failed, it.revision) }
                    ?: TxnOutcome.Unknown("unreadable answer")

                400, 429, 503 -> TxnOutcome.Refused(reply.status)

                else -> TxnOutcome.Unknown("status ${reply.status}")
            }
        }
    }

    suspend fun grantLease(ttlMs: Long): Long? {
        budget.takeAtOnce()
        val body = WireJson.encodeToString(LeaseRequest.serializer(), LeaseRequest(ttlMs)).encodeToByteArray()
        return decode(LeaseGrant.serializer(), call(http, "POST", "/holds", body, GRANT_MS))?.lease
    }

    suspend fun renewLease(lease: Long): RenewOutcome {
        budget.takeAtOnce()
        figures.count("renewals")
        val reply = call(http, "POST", "/holds/$lease/extend", EMPTY, RENEW_MS)
        return when ((reply as? Reply.Answer)?.status) {
            200 -> RenewOutcome.Renewed
            404 -> RenewOutcome.Gone
            else -> RenewOutcome.Failed
        }
    }

    suspend fun watch(prefix: String, after: Long, waitMs: Long): WatchOutcome {
        budget.take()
        figures.count("watches")
        val reply = call(
            watchHttp,
            "GET",
            "/watch?Under=$prefix&After=$after&WaitMs=$waitMs",
            null,
            waitMs + WATCH_SLACK_MS,
        )
        return when {
            reply is Reply.None -> WatchOutcome.Failed(reply.why)

            reply is Reply.Answer && reply.status == 410 -> WatchOutcome.TooOld

            reply is Reply.Answer && reply.status == 200 ->
                parse(WatchEvents.serializer(), reply)?.let { WatchOutcome.Events(it) }
                    ?: WatchOutcome.Failed("unreadable answer")

            else -> WatchOutcome.Failed("status ${(reply as Reply.Answer).status}")
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
