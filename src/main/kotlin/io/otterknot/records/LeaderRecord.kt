package io.otterknot.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Which controller leads a partition; [incarnation] differs each time that the controller starts. */
@Serializable
data class LeaderRecord(@SerialName("o") val leader: String, @SerialName("i") val incarnation: String)
