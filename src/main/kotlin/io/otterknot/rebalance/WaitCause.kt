package io.otterknot.rebalance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Where the wait of a task arises. */
@Serializable
enum class WaitCause {
    /** An earlier owner may have started it. */
    @SerialName("doubt")
    IN_DOUBT,

    /** It is on its way to another partition, until that change is durable. */
    @SerialName("handover")
    REASSIGNMENT,

    /** The team's allotment in this partition, or the job's own spread over zones, is used up. */
    @SerialName("limit")
    QUOTA_LIMIT,

    /** The job failed a few times and is tried again later. */
    @SerialName("retry")
    RETRY_BACKOFF,

    /** Some machine has room, which is held for other work or which a machine that is not usable yet has. */
    @SerialName("held room")
    CAPACITY_RESERVED,

    /** There is no room here, but another partition has some. */
    @SerialName("room elsewhere")
    CAPACITY_ELSEWHERE,

    /** There is no room, and other teams use more of the partition than they are due. */
    @SerialName("other teams above their share")
    TEAMS_ABOVE_FAIR_SHARE,

    /** There is no room, and nobody uses more than is due: only more machines would help. */
    @SerialName("no room")
    NO_CAPACITY,

    /** It has a machine, and waits for that machine's report or for the answer to arrive. */
    @SerialName("report")
    AWAITING_HEARTBEAT,

    /** It has a machine, and waits for its image. */
    @SerialName("image")
    IMAGE_FETCH,
}
