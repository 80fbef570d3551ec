package io.otterknot.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Types of machines that may run tasks of a partition, by machine id; many share a key, as writes are rate-limited. */
@Serializable
data class MachineSegmentRecord(@SerialName("m") val types: Map<String, String> = emptyMap())
