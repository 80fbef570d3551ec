package io.otterknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
data class MachineType(
    @SerialName("Name") val name: String,
    @SerialName("Cores") val cores: Double,
    @SerialName("Cards") val cards: Double = 0.0,
    @SerialName("MemoryGb") val memoryGb: Double,
    @SerialName("LocalGb") val cacheGb: Double = 0.0,
    @SerialName("PullGbPerS") val fetchGbPerS: Double = 0.1,
    @SerialName("Rate") val price: Double = 0.0,
    @SerialName("SpotPrice") val spotPrice: Double = 0.0,
    @SerialName("ReadyS") val bootS: Double = 60.0,
    @SerialName("Reaches") val zones: List<String> = emptyList(),
)

@Serializable
data class MachineTypes(@SerialName("Breeds") val types: List<MachineType>)

@Serializable
data class ScaleOutRequest(
    @SerialName("Bid") val request: String,
    @SerialName("Breed") val type: String,
    @SerialName("Reach") val zone: String,
    @SerialName("Driftwood") val spot: Boolean,
    @SerialName("Number") val count: Int,
)

@Serializable
data class MachineNames(@SerialName("Holts") val machines: List<String>)

@Serializable
data class ListedMachine(
    @SerialName("Uid") val id: String,
    @SerialName("Endpoint") val endpoint: String? = null,
    @SerialName("Breed") val type: String,
    @SerialName("Reach") val zone: String,
    @SerialName("Driftwood") val spot: Boolean = false,
    @SerialName("Mood") val state: ListedMachineState,
    @SerialName("HeldS") val ageS: Double = 0.0,
)

@Serializable
data class MachineList(
    @SerialName("Holts") val machines: List<ListedMachine>,
    @SerialName("More") val more: Boolean = false,
)

@Serializable(with = ListedMachineStateSerializer::class)
enum class ListedMachineState(override val wireName: String) : WireEnum {
    BOOTING("booting"),
    RUNNING("running"),

    /** The machine has died; it costs nothing more, but stays in the list until it is released. */
    FAILED("failed"),

    /** Any other string, which a later version of the cloud may send. */
    UNRECOGNIZED("unrecognized"),
}

internal object ListedMachineStateSerializer : WireEnumSerializer<ListedMachineState>(
    "io.otterknot.wire.ListedMachineState",
    ListedMachineState.entries,
    unrecognized = ListedMachineState.UNRECOGNIZED,
)
