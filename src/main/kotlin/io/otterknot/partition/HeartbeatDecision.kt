package io.otterknot.partition

import io.otterknot.wire.HeartbeatCommand

/** What a partition's leader decides on a heartbeat. */
sealed interface HeartbeatDecision {
    /** Respond with the leader's [fencingToken] and these [commands]. */
    data class Answer(val fencingToken: Long, val commands: List<HeartbeatCommand>) : HeartbeatDecision

    /** The worker has seen a higher fencing token: this controller leads the partition no longer. */
    data object Superseded : HeartbeatDecision

    /** A delayed or duplicated heartbeat: one at least as new has been applied already. */
    data object Stale : HeartbeatDecision
}
