package io.otterknot.scheduling

/** The run times of the tasks of one job that completed. */
class RunTimes {
    private var count = 0
    private var sumMs = 0.0

    fun add(runMs: Long) {
        count++
        sumMs += runMs
    }

    /** Null while too few have completed to say. */
    val meanMs: Double? get() = if (count < MIN_COUNT || sumMs <= 0) null else sumMs / count

    /** How many times as long as the others a run of [runMs] is; null while too few have completed to say. */
    fun ratio(runMs: Long): Double? = meanMs?.let { runMs / it }

    private companion object {
        const val MIN_COUNT = 4
    }
}
