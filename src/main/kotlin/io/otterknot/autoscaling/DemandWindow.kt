package io.otterknot.autoscaling

/**
 * Samples of a demand over the last [spanMs], one at most every [sampleIntervalMs].
 *
 * Machines for work that cannot wait for a boot must be there before it comes. How many, the past tells: if a share q of
 * such jobs is to start at once, the q-quantile of recent demand is kept supplied. The maximum (q = 1) would keep the
 * machines of each burst through the whole of a lull; the mean would be too few for half of the bursts.
 */
class DemandWindow(private val spanMs: Long = 60_000, private val sampleIntervalMs: Long = 1_500) {
    private val samples = ArrayDeque<Double>()

    /** When the last sample was taken; null: none yet. */
    private var lastSampleMs: Long? = null

    /**
     * Takes the present [demand] in and returns what is to be supplied: the [quantile] (0 to 1, the lower sample where
     * it falls between two) of the samples, or the present demand if that is more.
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
