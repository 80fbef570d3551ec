package io.otterknot.scheduling

/**
 * Estimates how slow a machine is, as an exponentially weighted mean of the run times of its tasks relative to tasks of
 * the same job on other machines. Tasks of one job differ, so a single long run is weak evidence and several
 * consecutive ones are strong evidence.
 */
class Slowness {
    /** The estimated run time of tasks on this machine relative to other machines. */
    var ratio = 1.0
        private set

    val isSlow: Boolean get() = ratio > SLOW_RATIO

    /** Adds a task that took [taskRatio] times as long as the mean of its job. */
    fun add(taskRatio: Double) {
        ratio += (minOf(taskRatio, MAX_TASK_RATIO) - ratio) * WEIGHT
    }

    override fun toString() = "%.1f".format(ratio)

    private companion object {
        const val WEIGHT = 0.35
        const val MAX_TASK_RATIO = 3.0
        const val SLOW_RATIO = 1.9
    }
}
