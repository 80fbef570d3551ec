package io.otterknot.cloud

/** What came of a scale-out request. */
sealed interface ScaleOutResult {
    /** The ids of the new [machines], perhaps fewer than were asked for. */
    class Granted(val machines: List<String>) : ScaleOutResult

    /** Nothing was granted: the cloud has no machine of this kind in this zone now. */
    data object NoCapacity : ScaleOutResult

    /** Nothing was granted, for a reason that says nothing about capacity. */
    class Refused(val error: String) : ScaleOutResult

    /** It is not known whether machines were granted; the same request, sent again, tells. */
    class Unanswered(val error: String) : ScaleOutResult
}
