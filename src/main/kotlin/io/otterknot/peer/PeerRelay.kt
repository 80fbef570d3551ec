package io.otterknot.peer

import io.otterknot.http.HttpStatus
import io.otterknot.http.Reply
import io.otterknot.store.Relay

/** Sends requests to the key-value store through another controller. */
class PeerRelay(private val peer: PeerTransport) : Relay {
    override suspend fun reachesStore(): Boolean? {
        val response = peer.call(PeerMessage.IdlePartitionQuery, PEER_RESPONSE_TIMEOUT_MS)
        return (response as? PeerMessage.IdlePartitionCount)?.isStoreReachable
    }

    override suspend fun relay(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        val request = PeerMessage.RelayRequest(method, target, body, timeoutMs.toInt())
        val response = peer.call(request, timeoutMs + PEER_RESPONSE_TIMEOUT_MS) as? PeerMessage.RelayResponse
        if (response == null || !response.isAnswered) return Reply.None("no response through the relay controller")
        val isTooLarge = response.status == HttpStatus.PAYLOAD_TOO_LARGE
        if (isTooLarge) return Reply.None("response is too large for the relay", isTooLarge = true)
        return Reply.Answer(response.status, response.body)
    }
}
