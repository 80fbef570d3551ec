package io.otterknot.scheduling

/**
 * How slow a machine is, by the run times of its tasks against those of the same job on other machines: tasks of one job
 * differ, so one long run says little, and several in a row much. An exponentially weighted mean.
 */
class Slowness {
    /** How many times as long as on other machines its tasks take. */
    var ratio = 1.0
        private set

    val isSlow: Boolean get() = ratio > SLOW_RATIO

    /** A task took [taskRatio] times as long as its like. */
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
