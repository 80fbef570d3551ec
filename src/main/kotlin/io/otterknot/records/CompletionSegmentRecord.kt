package io.otterknot.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Completed tasks of many jobs, as the chunks of [TaskBitmaps.encode] keyed by [TaskBitmaps.chunkName]. */
@Serializable
data class CompletionSegmentRecord(
    @SerialName("d") val bitmaps: Map<String, String> = emptyMap(),
    /** The same in smaller chunks, for jobs with so many tasks that a chunk of the usual size would not fit a value. */
    @SerialName("f") val fineBitmaps: Map<String, String>? = null,
)
