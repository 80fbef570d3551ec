package io.otterknot.controller

import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import io.otterknot.peer.IdlePartitions
import io.otterknot.peer.PeerMessage
import io.otterknot.peer.PeerMessage.RelayResponse
import io.otterknot.store.StoreHealth

/** Answers the requests of other controllers. Owns no state; runs on the controller's event loop. */
class PeerRequestHandler(
    private val leadership: PartitionLeadership,
    private val partitions: Map<String, Partition>,
    private val idlePartitions: IdlePartitions,
    private val storeHealth: StoreHealth,
    private val store: Transport,
    private val nowMs: () -> Long,
) {
    suspend fun handle(request: PeerMessage): PeerMessage = when (request) {
        is PeerMessage.RelayRequest -> relayToStore(request)

        is PeerMessage.TransferLeadership -> {
            transferLeadership(request)
            idlePartitions.respondTo(request, nowMs())
        }

        PeerMessage.IdlePartitionQuery,
        is PeerMessage.IdlePartitionAnnouncement,
        is PeerMessage.IdleAnnouncementWithdrawn,
        -> idlePartitions.respondTo(request, nowMs())

        // Not requests in this version: they change nothing, and are answered only so that the connection stays open.
        is PeerMessage.IdlePartitionCount,
        is PeerMessage.RelayResponse,
        is PeerMessage.Unknown,
        -> idlePartitions.respondTo(request, nowMs())
    }

    /** Transfers the leadership of the requested partition to the peer, if the state of the partition allows it now. */
    private suspend fun transferLeadership(request: PeerMessage.TransferLeadership) {
        val mayTransfer = partitions[request.zone]?.mayTransferLeadership(nowMs()) == true
        if (mayTransfer) leadership.transferLeadership(request.zone, request.ledPartitions)
    }

    /**
     * Sends a request to the store on behalf of a peer. It is not counted in this controller's rate limit, since the
     * peer has counted it in its own.
     */
    private suspend fun relayToStore(request: PeerMessage.RelayRequest): PeerMessage {
        if (!storeHealth.isAnswering) return RelayResponse.UNANSWERED
        val reply = store.call(request.method, request.target, request.body, request.timeoutMs.toLong())
        return when (reply) {
            is Reply.Answer -> RelayResponse.of(reply.status, reply.body)
            is Reply.None -> if (reply.isTooLarge) RelayResponse.TOO_LARGE else RelayResponse.UNANSWERED
        }
    }
}
