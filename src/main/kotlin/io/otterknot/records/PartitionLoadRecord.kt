package io.otterknot.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A partition as the others see it: the mean load of its machines and the cores behind it; and the same for its
 * ordinary machines alone with the tasks that may run on no other, since those cannot use what is free on spot
 * machines.
 */
@Serializable
data class PartitionLoadRecord(
    @SerialName("m") val meanLoad: Double,
    @SerialName("c") val cores: Double = 0.0,
    @SerialName("om") val ordinaryMeanLoad: Double = 0.0,
    @SerialName("oc") val ordinaryCores: Double = 0.0,
    /** By team: cores and GPUs that waiting tasks need beyond the partition's quota share. */
    @SerialName("n") val quotaNeeds: Map<String, QuotaAmount> = emptyMap(),
    /** What load spread needs to know; null where that is off, or the leader is of a version before it. */
    @SerialName("l") val pressure: PressureRecord? = null,
)

/** The demand on a partition: by team what is used and what waits, and what decides how long work waits there. */
@Serializable
data class PressureRecord(
    @SerialName("t") val teams: Map<String, TeamPressureRecord> = emptyMap(),
    /** The memory of its machines. */
    @SerialName("m") val memoryGb: Double = 0.0,
    /** The GPUs of its machines. */
    @SerialName("g") val gpus: Double = 0.0,
    /** How long tasks run there on average, in seconds; null: not known yet. */
    @SerialName("r") val meanRunS: Double? = null,
    /** Images that many of its machines have. */
    @SerialName("i") val images: List<String> = emptyList(),
    /** How many times as long the fetch of an image takes there as by the nominal rate. */
    @SerialName("f") val fetchFactor: Double = 1.0,
)

/** What one team uses in a partition, and what of it waits there. */
@Serializable
data class TeamPressureRecord(
    @SerialName("c") val cores: Double = 0.0,
    @SerialName("m") val memoryGb: Double = 0.0,
    @SerialName("g") val gpus: Double = 0.0,
    @SerialName("w") val waitingCores: Double = 0.0,
    /** Since when its oldest waiting task could run, by the time of day in milliseconds; null: nothing waits. */
    @SerialName("o") val oldestReadyMs: Long? = null,
)
