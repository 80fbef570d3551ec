package io.otterknot.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The load of a partition, published for the other partitions: the mean load of its machines and their cores. The
 * same is given for its ordinary machines and the tasks that may run only on these, since such tasks cannot use
 * free capacity of spot machines.
 */
@Serializable
data class PartitionLoadRecord(
    @SerialName("m") val meanLoad: Double,
    @SerialName("c") val cores: Double = 0.0,
    @SerialName("om") val ordinaryMeanLoad: Double = 0.0,
    @SerialName("oc") val ordinaryCores: Double = 0.0,
    /** By team: the cores and GPUs that waiting tasks need beyond the partition's quota share. */
    @SerialName("n") val quotaNeeds: Map<String, QuotaAmount> = emptyMap(),
    /** The input of load spread, or null if it is off or the leader runs a version without it. */
    @SerialName("l") val pressure: PressureRecord? = null,
)

/** The demand on a partition: usage and pending demand by team, and the values that determine how long tasks wait. */
@Serializable
data class PressureRecord(
    @SerialName("t") val teams: Map<String, TeamPressureRecord> = emptyMap(),
    /** Memory of its machines. */
    @SerialName("m") val memoryGb: Double = 0.0,
    /** GPUs of its machines. */
    @SerialName("g") val gpus: Double = 0.0,
    /** Average run time of the partition's tasks in seconds, or null if it is not known yet. */
    @SerialName("r") val meanRunS: Double? = null,
    /** Images that many of its machines have. */
    @SerialName("i") val images: List<String> = emptyList(),
    /** Ratio of the measured duration of an image fetch to its duration at the nominal rate. */
    @SerialName("f") val fetchFactor: Double = 1.0,
)

/** The capacity that one team uses in a partition, and its pending demand there. */
@Serializable
data class TeamPressureRecord(
    @SerialName("c") val cores: Double = 0.0,
    @SerialName("m") val memoryGb: Double = 0.0,
    @SerialName("g") val gpus: Double = 0.0,
    @SerialName("w") val waitingCores: Double = 0.0,
    /** Wall-clock time, in milliseconds, since when the team's oldest waiting task could run; null if no task waits. */
    @SerialName("o") val oldestReadyMs: Long? = null,
)
