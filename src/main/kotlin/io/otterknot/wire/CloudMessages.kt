package io.otterknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A machine type that the cloud offers (PROTOCOL, "GET /flavors"). */
@Serializable
data class MachineType(
    @SerialName("Name") val name: String,
    @SerialName("Cores") val cores: Double,
    /** GPUs. */
    @SerialName("Cards") val cards: Double = 0.0,
    @SerialName("MemoryGb") val memoryGb: Double,
    /** Size of the disk that caches images. */
    @SerialName("LocalGb") val cacheGb: Double = 0.0,
    @SerialName("PullGbPerS") val fetchGbPerS: Double = 0.1,
    /** Price of an hour; [spotPrice] is that of a spot machine now. */
    @SerialName("Rate") val price: Double = 0.0,
    @SerialName("SpotPrice") val spotPrice: Double = 0.0,
    /** Usual time from the rental request until the worker reports. */
    @SerialName("ReadyS") val bootS: Double = 60.0,
    @SerialName("Reaches") val zones: List<String> = emptyList(),
)

/** The response to `GET /flavors`. */
@Serializable
data class MachineTypes(@SerialName("Breeds") val types: List<MachineType>)

/** The body of `POST /machines`. */
@Serializable
data class ScaleOutRequest(
    /** Id of the request, never used for another one: a repetition with the same id rents nothing more. */
    @SerialName("Bid") val request: String,
    @SerialName("Breed") val type: String,
    @SerialName("Reach") val zone: String,
    @SerialName("Driftwood") val spot: Boolean,
    @SerialName("Number") val count: Int,
)

/** Ids of machines: those rented by `POST /machines`, or the body of `POST /machines/release`. */
@Serializable
data class MachineNames(@SerialName("Holts") val machines: List<String>)

/** A machine in the cloud's list, which lags behind. */
@Serializable
data class ListedMachine(
    @SerialName("Uid") val id: String,
    @SerialName("Endpoint") val endpoint: String? = null,
    @SerialName("Breed") val type: String,
    @SerialName("Reach") val zone: String,
    @SerialName("Driftwood") val spot: Boolean = false,
    @SerialName("Mood") val state: ListedMachineState,
    /** Seconds from the rental request to the moment that the list describes. */
    @SerialName("HeldS") val ageS: Double = 0.0,
)

/** One page of the response to `GET /machines`, in the order of the ids; [more]: others follow. */
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
