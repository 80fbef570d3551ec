package io.otterknot.controller

import io.otterknot.leadership.PartitionLeadership
import io.otterknot.peer.PEER_RESPONSE_TIMEOUT_MS
import io.otterknot.peer.PeerMessage
import io.otterknot.peer.PeerTransport
import kotlinx.coroutines.delay
import kotlin.random.Random

/**
 * Requests the leadership of a partition while this controller leads none and a peer leads several, as after a restart.
 * The peer's response is ignored: if it transfers the leadership, the replica shows a partition without a leader.
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
        /**
         * The minimum time between two requests, and the upper bound of the random time that is added to it, so that
         * controllers that restart together do not send their requests together.
         */
        const val PERIOD_MS = 6_000L
    }
}
