package io.otterknot.controller

import io.otterknot.leadership.PartitionLeadership
import io.otterknot.peer.PEER_RESPONSE_TIMEOUT_MS
import io.otterknot.peer.PeerMessage
import io.otterknot.peer.PeerTransport
import kotlinx.coroutines.delay
import kotlin.random.Random

/**
 * Asks for a partition while this controller leads none and a peer leads several, as after a restart. What the peer
 * answers is of no interest: if it transfers the leadership, the replica shows a partition without a leader.
 */
class LeadershipRequester(
    private val leadership: PartitionLeadership,
    private val peers: Map<String, PeerTransport>,
    private val random: Random,
) {
    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PERIOD_MS + random.nextLong(PERIOD_MS))
            val request = leadership.nextTransferRequest() ?: continue
            val message = PeerMessage.TransferLeadership(request.zone, leadership.ledPartitionCount)
            peers[request.leader]?.call(message, PEER_RESPONSE_TIMEOUT_MS)
        }
    }

    private companion object {
        /** The shortest time between two requests, and the random time on top: peers that restart together spread out. */
        const val PERIOD_MS = 6_000L
    }
}
