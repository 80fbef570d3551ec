package io.otterknot.peer

/** Sends messages to one other controller. Implemented by [PeerClient] and by fakes in tests. */
fun interface PeerTransport {
    /**
     * Sends [message] and returns the response, or null if none arrived within [timeoutMs]; the other controller may
     * have received the message all the same.
     */
    suspend fun call(message: PeerMessage, timeoutMs: Long): PeerMessage?
}

/** How long a controller waits for a response that the other controller returns from memory. */
const val PEER_RESPONSE_TIMEOUT_MS = 800L
