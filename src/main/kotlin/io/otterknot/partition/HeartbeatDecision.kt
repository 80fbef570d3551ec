package io.otterknot.partition

import io.otterknot.wire.HeartbeatCommand

/** How a partition's leader responds to a heartbeat. */
sealed interface HeartbeatDecision {
    /** Respond with the leader's [fencingToken] and these [commands]. */
    data class Answer(val fencingToken: Long, val commands: List<HeartbeatCommand>) : HeartbeatDecision

    /** The worker has seen a higher fencing token: this controller no longer leads the partition. */
    data object Superseded : HeartbeatDecision

    /** The heartbeat is delayed or duplicated: the same one or a newer one has been applied already. */
    data object Stale : HeartbeatDecision
}
