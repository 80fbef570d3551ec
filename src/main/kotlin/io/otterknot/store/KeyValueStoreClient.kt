package io.otterknot.store

import io.otterknot.http.HttpStatus
import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.metrics.Metrics
import io.otterknot.ratelimit.RateLimiter
import io.otterknot.wire.KeyChange
import io.otterknot.wire.KeyValuePage
import io.otterknot.wire.LeaseGrant
import io.otterknot.wire.LeaseRequest
import io.otterknot.wire.MAX_BODY_BYTES
import io.otterknot.wire.RevisionResponse
import io.otterknot.wire.TransactionRequest
import io.otterknot.wire.VersionCondition
import io.otterknot.wire.WatchEvents
import io.otterknot.wire.WireJson
import io.otterknot.wire.decodeJson
import kotlinx.serialization.KSerializer
import org.slf4j.LoggerFactory

/**
 * Client of the consensus-backed key-value store (PROTOCOL: `/store`, `/txn`, `/watch`, `/holds`). It keeps within this
 * controller's share of the store's rate limits. Watches use a separate transport because their requests stay open.
 */
class KeyValueStoreClient(
    private val transport: Transport,
    private val watchTransport: Transport,
    val rateLimiter: RateLimiter,
    val metrics: Metrics,
) {
    private val log = LoggerFactory.getLogger(KeyValueStoreClient::class.java)

    /** Returns a page of the keys that begin with [prefix] and sort after [after], or null if the request failed. */
    suspend fun list(prefix: String, after: String?): KeyValuePage? {
        rateLimiter.acquire()
        metrics.count("lists")
        val afterParameter = if (after == null) "" else "&After=$after"
        val target = "/store?Under=$prefix$afterParameter&Page=$PAGE_SIZE"
        return parseIfOk(KeyValuePage.serializer(), call(transport, "GET", target, null, LIST_TIMEOUT_MS))
    }

    /** Returns the store's current revision, by reading an absent key, or null if the request failed. */
    suspend fun revision(): Long? {
        rateLimiter.acquire()
        return readRevision()
    }

    /** Like [revision], but does not wait for the rate limit: for the store lease, which must not be delayed. */
    suspend fun revisionWithoutWaiting(): Long? {
        rateLimiter.acquireWithoutWaiting()
        return readRevision()
    }

    /** Applies [change] if all its conditions hold. The caller must have taken its tokens from [rateLimiter]. */
    suspend fun transact(change: CompareAndSwap): TransactionOutcome = send(change.conditions, change.changes)

    /**
     * Checks whether all [conditions] hold at some moment after the call. The caller must have taken the tokens of the
     * request from [rateLimiter].
     */
    suspend fun checkConditions(conditions: List<VersionCondition>): TransactionOutcome = send(conditions, emptyList())

    /** Creates a store lease with a time to live of [ttlMs]. Returns its id, or null if the request failed. */
    suspend fun grantLease(ttlMs: Long): Long? {
        rateLimiter.acquireWithoutWaiting()
        val body = encode(LeaseRequest.serializer(), LeaseRequest(ttlMs))
        return parseIfOk(LeaseGrant.serializer(), call(transport, "POST", "/holds", body, GRANT_TIMEOUT_MS))?.lease
    }

    /** Renews [lease] for another time to live. */
    suspend fun renewLease(lease: Long): LeaseRenewal {
        rateLimiter.acquireWithoutWaiting()
        metrics.count("renewals")
        val reply = call(transport, "POST", "/holds/$lease/extend", EMPTY_BODY, RENEWAL_TIMEOUT_MS)
        return when ((reply as? Reply.Answer)?.status) {
            HttpStatus.OK -> LeaseRenewal.RENEWED
            HttpStatus.NOT_FOUND -> LeaseRenewal.EXPIRED
            else -> LeaseRenewal.FAILED
        }
    }

    /** Returns the changes after [revision] of keys under [prefix]; the store waits up to [waitMs] for a change. */
    suspend fun watch(prefix: String, revision: Long, waitMs: Long): WatchResult {
        rateLimiter.acquire()
        metrics.count("watches")
        val target = "/watch?Under=$prefix&After=$revision&WaitMs=$waitMs"
        return when (val reply = call(watchTransport, "GET", target, null, waitMs + WATCH_SLACK_MS)) {
            is Reply.None -> if (reply.isTooLarge) WatchResult.TooLarge else WatchResult.Failed(reply.why)
            is Reply.Answer -> watchResult(reply)
        }
    }

    private fun watchResult(reply: Reply.Answer): WatchResult = when (reply.status) {
        HttpStatus.OK -> parse(WatchEvents.serializer(), reply)?.let { WatchResult.Events(it) }
            ?: WatchResult.Failed(UNREADABLE)

        HttpStatus.GONE -> WatchResult.Compacted

        else -> WatchResult.Failed("status ${reply.status}")
    }

    private suspend fun readRevision(): Long? {
        metrics.count("barrier reads")
        val reply = call(transport, "GET", ABSENT_KEY_TARGET, null, READ_TIMEOUT_MS)
        if (reply !is Reply.Answer || reply.status != HttpStatus.NOT_FOUND) return null
        return parse(RevisionResponse.serializer(), reply)?.revision
    }

    private suspend fun send(conditions: List<VersionCondition>, changes: List<KeyChange>): TransactionOutcome {
        metrics.count("transactions")
        metrics.count("changes", changes.size)
        val body = encode(TransactionRequest.serializer(), TransactionRequest(conditions, changes))
        if (body.size > MAX_BODY_BYTES) {
            log.warn("changes={} bytes={} transaction not sent, larger than the store accepts", changes.size, body.size)
            return TransactionOutcome.Refused(HttpStatus.BAD_REQUEST)
        }
        return when (val reply = call(transport, "POST", "/txn", body, TRANSACTION_TIMEOUT_MS)) {
            is Reply.None -> TransactionOutcome.Unknown(reply.why)
            is Reply.Answer -> transactionOutcome(reply)
        }
    }

    private fun transactionOutcome(reply: Reply.Answer): TransactionOutcome = when (reply.status) {
        HttpStatus.OK -> parse(RevisionResponse.serializer(), reply)?.let { TransactionOutcome.Applied(it.revision) }
            ?: TransactionOutcome.Unknown(UNREADABLE)

        HttpStatus.CONFLICT ->
            parse(RevisionResponse.serializer(), reply)?.let { TransactionOutcome.Conflict(it.failed, it.revision) }
                ?: TransactionOutcome.Unknown(UNREADABLE)

        HttpStatus.BAD_REQUEST, HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE ->
            TransactionOutcome.Refused(reply.status)

        else -> TransactionOutcome.Unknown("status ${reply.status}")
    }

    private suspend fun call(
        transport: Transport,
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
    ): Reply {
        val reply = transport.call(method, target, body, timeoutMs)
        if (reply is Reply.Answer && reply.status == HttpStatus.TOO_MANY_REQUESTS) rateLimiter.onRateRefused()
        return reply
    }

    private fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
        WireJson.encodeToString(serializer, value).encodeToByteArray()

    private fun <T> parseIfOk(serializer: KSerializer<T>, reply: Reply): T? =
        if (reply is Reply.Answer && reply.status == HttpStatus.OK) parse(serializer, reply) else null

    /** Returns null if the body does not follow the protocol; callers treat that like a missing answer. */
    private fun <T> parse(serializer: KSerializer<T>, reply: Reply.Answer): T? = try {
        decodeJson(serializer, reply.text)
    } catch (_: IllegalArgumentException) {
        null
    }

    companion object {
        /** Target of a key that is never written: reading it is cheap for the store and returns its revision. */
        internal const val ABSENT_KEY_TARGET = "/store/o/none"
        private val EMPTY_BODY = ByteArray(0)
        private const val UNREADABLE = "response body cannot be decoded"
        private const val PAGE_SIZE = 200
        private const val LIST_TIMEOUT_MS = 10_000L
        private const val READ_TIMEOUT_MS = 1_500L
        private const val TRANSACTION_TIMEOUT_MS = 2_500L
        private const val GRANT_TIMEOUT_MS = 2_000L
        private const val RENEWAL_TIMEOUT_MS = 1_500L

        /** Time for the answer to a watch beyond the time that the store may wait for a change. */
        private const val WATCH_SLACK_MS = 3_000L
    }
}
