package io.otterknot.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Completed tasks of many jobs, as [TaskBitmaps] by the names that [TaskBitmaps.chunkName] gives. */
@Serializable
data class CompletionSegmentRecord(
    @SerialName("d") val bitmaps: Map<String, String> = emptyMap(),
    /** The same in smaller chunks, for jobs of so many tasks that a chunk of the usual size would not fit a value. */
    @SerialName("f") val fineBitmaps: Map<String, String>? = null,
)
