package io.otterknot.autoscaling

/**
 * Demand over the last while. What must be there in advance is the demand that was not passed for a given share of
 * that time: a larger share asked for keeps more machines through a lull.
 */
class DemandWindow(private val spanMs: Long = 60_000, private val stepMs: Long = 1_500) {
    private val values = ArrayDeque<Double>()
    private var lastMs = Long.MIN_VALUE / 2

    fun note(nowMs: Long, value: Double, share: Double): Double {
        if (nowMs - lastMs >= stepMs) {
            lastMs = nowMs
            values.addLast(value)
            while (values.size > spanMs / stepMs) values.removeFirst()
        }
        val sorted = values.sorted()
        val covered = sorted[((sorted.size - 1) * share.coerceIn(0.0, 1.0)).toInt()]
        return maxOf(value, covered)
    }
}
