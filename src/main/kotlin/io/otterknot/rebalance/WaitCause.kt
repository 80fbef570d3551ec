package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a task waits. */
@Serializable
enum class WaitCause {
    /** An earlier leader may have started it. */
    @SerialName("doubt")
    UNRECONCILED,

    /** It is being reassigned to another partition, until that change is durable. */
    @SerialName("handover")
    REASSIGNMENT,

    /** The team's quota share in this partition, or the job's own spread over zones, is used up. */
    @SerialName("limit")
    QUOTA_LIMIT,

    /** The job failed a few times and is tried again later. */
    @SerialName("retry")
    RETRY_BACKOFF,

    /** Some machine has free capacity, but it is reserved for other work or the machine is not usable yet. */
    @SerialName("held room")
    CAPACITY_RESERVED,

    /** There is no free capacity here, but another partition has some. */
    @SerialName("room elsewhere")
    CAPACITY_ELSEWHERE,

    /** There is no free capacity, and other teams use more than their fair share. */
    @SerialName("other teams above their share")
    TEAMS_ABOVE_FAIR_SHARE,

    /** There is no free capacity, and no team exceeds its fair share: only more machines would help. */
    @SerialName("no room")
    NO_CAPACITY,

    /** It is assigned to a machine, and waits for its heartbeat or for the response to arrive. */
    @SerialName("report")
    AWAITING_HEARTBEAT,

    /** It is assigned to a machine, and its image is being fetched. */
    @SerialName("image")
    IMAGE_FETCH,
}
