package io.otterknot.store

import io.otterknot.http.HttpStatus
import io.otterknot.http.Reply
import io.otterknot.http.Transport
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select

/** Transport to the store: direct, or through a relay while the store is unreachable on the direct connection. */
class StoreConnection(private val direct: Transport, private val health: StoreHealth, private val relays: RelayPool) :
    Transport {
    override suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        if (health.unreachable.value) relay(method, target, body, timeoutMs)?.let { return it }
        val reply =
            if (method == "GET") {
                getDirectly(target, timeoutMs)
            } else {
                direct.call(method, target, body, timeoutMs).also(health::recordReply)
            }
        val relayed = if (mayBeRelayed(reply)) relay(method, target, body, timeoutMs) else null
        return relayed ?: reply ?: Reply.None("the store became unreachable during the request")
    }

    /**
     * Checks at intervals, while the store is unreachable, whether the direct connection works again. Runs until
     * cancelled.
     */
    suspend fun probe() {
        while (true) {
            health.unreachable.first { it }
            delay(PROBE_INTERVAL_MS)
            val reply = direct.call("GET", KeyValueStoreClient.ABSENT_KEY_TARGET, null, PROBE_TIMEOUT_MS)
            health.recordReply(reply)
        }
    }

    /**
     * Whether the same request may be sent again through a relay. That is so for an abandoned read (null) and after a
     * 503, which means that the store did not apply the request; a request without an answer may have been applied.
     */
    private fun mayBeRelayed(reply: Reply?): Boolean {
        if (!health.unreachable.value) return false
        return reply == null || (reply is Reply.Answer && reply.status == HttpStatus.SERVICE_UNAVAILABLE)
    }

    private suspend fun relay(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply? {
        val reply = relays.call(method, target, body, timeoutMs) ?: return null
        if (StoreHealth.isAnswer(reply)) health.recordRelayedAnswer()
        return reply
    }

    /**
     * Sends a GET on the direct connection. Returns null if the store becomes unreachable before the reply arrives. A
     * watch would otherwise stay open without events until its timeout while the store is unreachable.
     */
    private suspend fun getDirectly(target: String, timeoutMs: Long): Reply? = coroutineScope {
        val answer = async { direct.call("GET", target, null, timeoutMs).also(health::recordReply) }
        val becameUnreachable = launch { health.unreachable.first { it } }
        val reply = select<Reply?> {
            answer.onAwait { it }
            becameUnreachable.onJoin { null }
        }
        answer.cancel()
        becameUnreachable.cancel()
        reply
    }

    private companion object {
        const val PROBE_INTERVAL_MS = 1_000L
        const val PROBE_TIMEOUT_MS = 1_000L
    }
}
