package io.otterknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A machine type that the cloud offers (PROTOCOL, "GET /flavors"). */
@Serializable
data class MachineType(
    @SerialName("Name") val name: String,
    @SerialName("Cores") val cores: Double,
    @SerialName("Cards") val gpus: Double = 0.0,
    @SerialName("MemoryGb") val memoryGb: Double,
    /** Size of the disk that caches images. */
    @SerialName("LocalGb") val cacheGb: Double = 0.0,
    @SerialName("PullGbPerS") val fetchGbPerS: Double = 0.1,
    /** Price per hour; [spotPrice] is the current price per hour of a spot machine. */
    @SerialName("Rate") val price: Double = 0.0,
    @SerialName("SpotPrice") val spotPrice: Double = 0.0,
    /** Usual time from the scale-out request to the worker's first heartbeat. */
    @SerialName("ReadyS") val bootS: Double = 60.0,
    @SerialName("Reaches") val zones: List<String> = emptyList(),
)

/** The response to `GET /flavors`. */
@Serializable
data class MachineTypes(@SerialName("Breeds") val types: List<MachineType>)

/** The body of `POST /machines`. */
@Serializable
data class ScaleOutRequest(
    /** Id that no other request uses: the cloud rents no additional machines if the request is sent again with it. */
    @SerialName("Bid") val request: String,
    @SerialName("Breed") val type: String,
    @SerialName("Reach") val zone: String,
    @SerialName("Driftwood") val spot: Boolean,
    @SerialName("Number") val count: Int,
)

/** Ids of machines: the response to `POST /machines` with the rented ones, or the body of `POST /machines/release`. */
@Serializable
data class MachineNames(@SerialName("Holts") val machines: List<String>)

/** A machine in the cloud's list, which is updated with a delay. */
@Serializable
data class ListedMachine(
    @SerialName("Uid") val id: String,
    @SerialName("Endpoint") val endpoint: String? = null,
    @SerialName("Breed") val type: String,
    @SerialName("Reach") val zone: String,
    @SerialName("Driftwood") val spot: Boolean = false,
    @SerialName("Mood") val state: ListedMachineState,
    /** Seconds from the scale-out request to the time at which the list was current. */
    @SerialName("HeldS") val ageS: Double = 0.0,
)

/** One page of the response to `GET /machines`, ordered by machine id; [more] is true if further pages follow. */
@Serializable
data class MachineList(
    @SerialName("Holts") val machines: List<ListedMachine>,
    @SerialName("More") val more: Boolean = false,
)

/** The state of a machine as the cloud lists it. */
@Serializable(with = ListedMachineStateSerializer::class)
enum class ListedMachineState(override val wireName: String) : WireEnum {
    BOOTING("booting"),
    RUNNING("running"),

    /** The machine has failed. It is no longer charged, but stays in the list until it is released. */
    FAILED("failed"),

    /** Any other string, which a later version of the cloud may send. */
    UNRECOGNIZED("unrecognized"),
}

internal object ListedMachineStateSerializer : WireEnumSerializer<ListedMachineState>(
    "io.otterknot.wire.ListedMachineState",
    ListedMachineState.entries,
    unrecognized = ListedMachineState.UNRECOGNIZED,
)
