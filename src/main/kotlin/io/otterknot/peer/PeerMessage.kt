package io.otterknot.peer

/**
 * A message between two controllers. Every request is answered with [IdlePartitionCount], but a [RelayRequest], which
 * is answered with [RelayResponse].
 */
sealed interface PeerMessage {
    /** Asks how many partitions with idle machines the receiver knows of. */
    data object IdlePartitionQuery : PeerMessage

    /**
     * The partition of [zone] has [idleMachines] idle machines. Sent by its leader; expires at the receiver unless it
     * is repeated.
     */
    data class IdlePartitionAnnouncement(val zone: String, val fencingToken: Long, val idleMachines: Int) : PeerMessage

    /** The partition of [zone] has no idle machine any more. */
    data class IdleAnnouncementWithdrawn(val zone: String, val fencingToken: Long) : PeerMessage

    /**
     * Answers every message but a [RelayRequest]: how many [partitions] with idle machines the sender knows of, and
     * whether the key-value store answers it, so that it could relay requests ([isStoreReachable]).
     */
    data class IdlePartitionCount(val partitions: Int, val isStoreReachable: Boolean) : PeerMessage

    /** Asks the leader of [zone] to transfer its leadership to the sender, who leads [ledPartitions] partitions. */
    data class TransferLeadership(val zone: String, val ledPartitions: Int) : PeerMessage

    /**
     * Asks the receiver to send this HTTP request to the key-value store on behalf of the sender, who gets no answer
     * from it. A null [body] is a request without one. The receiver waits for [timeoutMs] at the most.
     */
    class RelayRequest(val method: String, val target: String, val body: ByteArray?, val timeoutMs: Int) : PeerMessage

    /** The key-value store's answer to a [RelayRequest], or [UNANSWERED]. */
    class RelayResponse(val status: Int, val body: ByteArray) : PeerMessage {
        /** Whether the store answered. If not, it may have carried the request out nevertheless. */
        val isAnswered: Boolean get() = status != UNANSWERED_STATUS

        companion object {
            private const val UNANSWERED_STATUS = 0

            /** The request was not sent to the store, or got no answer. */
            val UNANSWERED = RelayResponse(UNANSWERED_STATUS, ByteArray(0))
        }
    }

    /**
     * A message of a [kind] that this version does not know. It is answered with [IdlePartitionCount] and the
     * connection stays open, so that controllers of two versions can work together.
     */
    data class Unknown(val kind: Int) : PeerMessage
}
