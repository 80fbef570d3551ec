package io.otterknot.scheduling

/** The run times of the completed tasks of one job. */
class RunTimes {
    private var count = 0
    private var sumMs = 0.0

    fun add(runMs: Long) {
        count++
        sumMs += runMs
    }

    /** The mean run time in ms, or null if fewer than [MIN_COUNT] tasks have completed. */
    val meanMs: Double? get() = if (count < MIN_COUNT || sumMs <= 0) null else sumMs / count

    /** Returns the ratio of [runMs] to the mean run time, or null if fewer than [MIN_COUNT] tasks have completed. */
    fun ratio(runMs: Long): Double? = meanMs?.let { runMs / it }

    private companion object {
        const val MIN_COUNT = 4
    }
}
