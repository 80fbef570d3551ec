package io.otterknot.scheduling

/** The run times of tasks that are alike. */
class RunTimes {
    private var count = 0
    private var sumMs = 0.0

    fun add(ms: Long) {
        count++
        sumMs += ms
    }

    /** Null while too few have completed to say. */
    val meanMs: Double? get() = if (count < ENOUGH || sumMs <= 0) null else sumMs / count

    /** How many times as long as the others [ms] is; null while too few have completed to say. */
    fun ratio(ms: Long): Double? = meanMs?.let { ms / it }

    private companion object {
        const val ENOUGH = 4
    }
}

/**
 * How slow a machine is, told by its tasks against their like on other machines: tasks of one job differ, so one long
 * run says little, and several in a row much.
 */
class Slowness {
    private var level = 1.0

    fun add(ratio: Double) {
        level += (minOf(ratio, MOST) - level) * WEIGHT
    }

    val slow: Boolean get() = level > SLOW

    /** How many times as long as on other machines its tasks take. */
    val ratio: Double get() = level

    override fun toString() = "%.1f".format(level)

    private companion object {
        const val WEIGHT = 0.35
        const val MOST = 3.0
        const val SLOW = 1.9
    }
}
