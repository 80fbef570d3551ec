package io.otterknot.peer

/** Sends messages to one other controller: a [PeerClient], or a stand-in for that controller in tests. */
fun interface PeerTransport {
    /**
     * Sends [message] and waits for its answer. Null: none came within [timeoutMs], whether or not the other controller
     * got the message.
     */
    suspend fun call(message: PeerMessage, timeoutMs: Long): PeerMessage?
}

/** How long a controller waits for an answer that another gives from memory. */
const val PEER_RESPONSE_TIMEOUT_MS = 800L
