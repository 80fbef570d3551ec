package io.otterknot.cloud

/** The result of a scale-out request. */
sealed interface ScaleOutResult {
    /** Machines were granted, possibly fewer than requested; [machines] are their ids. */
    class Granted(val machines: List<String>) : ScaleOutResult

    /** No machine was granted: the cloud currently has none of this type in this zone. */
    data object NoCapacity : ScaleOutResult

    /** No machine was granted, for a reason unrelated to capacity. */
    class Refused(val error: String) : ScaleOutResult

    /** It is unknown whether machines were granted; sending the same request again returns the result. */
    class Unanswered(val error: String) : ScaleOutResult
}
