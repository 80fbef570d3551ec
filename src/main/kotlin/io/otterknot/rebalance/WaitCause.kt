package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a task waits. */
@Serializable
enum class WaitCause {
    /** The task is unreconciled: an earlier leader may have started it. */
    @SerialName("doubt")
    UNRECONCILED,

    /** The task is being reassigned to another partition, and the change is not durable yet. */
    @SerialName("handover")
    REASSIGNMENT,

    /** The team's quota share in this partition, or the job's limit per zone, is exhausted. */
    @SerialName("limit")
    QUOTA_LIMIT,

    /** The job failed several times and is retried after a backoff. */
    @SerialName("retry")
    RETRY_BACKOFF,

    /** A machine has free capacity, but it is reserved for other work or the machine is not usable yet. */
    @SerialName("held room")
    CAPACITY_RESERVED,

    /** This partition has no free capacity, but another one has. */
    @SerialName("room elsewhere")
    CAPACITY_ELSEWHERE,

    /** The job can use no free capacity, and another team uses more than its fair share. */
    @SerialName("other teams above their share")
    TEAMS_ABOVE_FAIR_SHARE,

    /** The job can use no free capacity, and no other team exceeds its fair share: more machines are needed. */
    @SerialName("no room")
    NO_CAPACITY,

    /** The task is assigned to a machine; the machine's next heartbeat, or the response to it, is outstanding. */
    @SerialName("report")
    AWAITING_HEARTBEAT,

    /** The task is assigned to a machine, and its image is being fetched. */
    @SerialName("image")
    IMAGE_FETCH,
}
