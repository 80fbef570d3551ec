package io.otterknot.peer

import io.otterknot.http.HttpStatus

/**
 * A message between two controllers. The response to a [RelayRequest] is [RelayResponse]; the response to any other
 * request is [IdlePartitionCount].
 */
sealed interface PeerMessage {
    /** Requests the number of partitions with idle machines that are announced to the receiver. */
    data object IdlePartitionQuery : PeerMessage

    /**
     * Announces that the partition of [zone] has [idleMachines] idle machines. Sent by its leader; expires at the
     * receiver unless it is renewed.
     */
    data class IdlePartitionAnnouncement(val zone: String, val fencingToken: Long, val idleMachines: Int) : PeerMessage

    /** Withdraws the announcement of [zone]: its partition no longer has idle machines. */
    data class IdleAnnouncementWithdrawn(val zone: String, val fencingToken: Long) : PeerMessage

    /**
     * The response to every message except [RelayRequest]: the number of [partitions] with idle machines announced to
     * the sender, and whether the key-value store answers the sender, so that it could relay requests
     * ([isStoreReachable]).
     */
    data class IdlePartitionCount(val partitions: Int, val isStoreReachable: Boolean) : PeerMessage

    /** Requests that the leader of [zone] transfers the leadership to the sender, which leads [ledPartitions] partitions. */
    data class TransferLeadership(val zone: String, val ledPartitions: Int) : PeerMessage

    /**
     * Requests that the receiver sends this HTTP request to the key-value store on behalf of the sender, which gets no
     * response from the store. If [body] is null, the request has no body. The receiver waits at most [timeoutMs].
     */
    class RelayRequest(val method: String, val target: String, val body: ByteArray?, val timeoutMs: Int) : PeerMessage

    /** The key-value store's response to a [RelayRequest], or [UNANSWERED]. */
    class RelayResponse(val status: Int, val body: ByteArray) : PeerMessage {
        /** Whether the store responded. If it did not, it may still have carried out the request. */
        val isAnswered: Boolean get() = status != UNANSWERED_STATUS

        companion object {
            private const val UNANSWERED_STATUS = 0

            /** The request was not sent to the store, or the store did not respond. */
            val UNANSWERED = RelayResponse(UNANSWERED_STATUS, ByteArray(0))

            /** The store responded, but with a larger body than a message between controllers may have. */
            val TOO_LARGE = RelayResponse(HttpStatus.PAYLOAD_TOO_LARGE, ByteArray(0))

            /** Returns the response with [status] and [body], or [TOO_LARGE]. */
            fun of(status: Int, body: ByteArray): RelayResponse =
                if (body.size > PeerCodec.MAX_RELAYED_BODY_BYTES) TOO_LARGE else RelayResponse(status, body)
        }
    }

    /**
     * A message of a [kind] that this version does not support. The response is [IdlePartitionCount] and the connection
     * stays open, so that controllers of different versions can work together.
     */
    data class Unknown(val kind: Int) : PeerMessage
}
