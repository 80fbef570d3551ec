package io.otterknot.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The controller that leads a partition; [incarnation] is different after each start of the controller. */
@Serializable
data class LeaderRecord(@SerialName("o") val leader: String, @SerialName("i") val incarnation: String)
