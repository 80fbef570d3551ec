package io.otterknot.autoscaling

/**
 * Samples of a demand over the last [spanMs], at most one per [sampleIntervalMs].
 *
 * Machines for work that cannot wait for a boot must be available before the work arrives. Their number is estimated
 * from recent demand: if a share q of such jobs must start immediately, supply covers the q-quantile. The maximum
 * (q = 1) would keep the machines of each burst through the following lull; the mean would be too few for half of the
 * bursts.
 */
class DemandWindow(private val spanMs: Long = 60_000, private val sampleIntervalMs: Long = 1_500) {
    private val samples = ArrayDeque<Double>()

    /** When the last sample was taken, or null if there is none yet. */
    private var lastSampleMs: Long? = null

    /**
     * Samples the current [demand] if [sampleIntervalMs] has elapsed, and returns the demand that supply must cover:
     * the [quantile] (0 to 1) of the samples, or the current demand if that is higher. A quantile between two samples
     * is rounded down to the lower one.
     */
    fun update(nowMs: Long, demand: Double, quantile: Double): Double {
        sample(nowMs, demand)
        val sorted = samples.sorted()
        val index = ((sorted.size - 1) * quantile.coerceIn(0.0, 1.0)).toInt()
        return maxOf(demand, sorted[index])
    }

    private fun sample(nowMs: Long, demand: Double) {
        val last = lastSampleMs
        if (last != null && nowMs - last < sampleIntervalMs) return
        lastSampleMs = nowMs
        samples.addLast(demand)
        while (samples.size > spanMs / sampleIntervalMs) samples.removeFirst()
    }
}
