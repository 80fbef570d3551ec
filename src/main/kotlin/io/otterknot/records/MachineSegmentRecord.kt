package io.otterknot.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Machines that may run tasks of a partition, with their types; one key has many, as changes are rate-limited. */
@Serializable
data class MachineSegmentRecord(@SerialName("m") val types: Map<String, String> = emptyMap())
