package io.otterknot.metrics

import org.HdrHistogram.Histogram
import org.agrona.collections.Object2LongCounterMap
import org.slf4j.LoggerFactory

/**
 * Counters and latency histograms of this controller, logged and reset once a minute. Confined to the controller's
 * event loop.
 */
class Metrics(private val nowMs: () -> Long) {
    private val log = LoggerFactory.getLogger(Metrics::class.java)
    private val counters = Object2LongCounterMap<String>(0L)
    private val durations = HashMap<String, Histogram>()
    private var intervalStartMs = nowMs()

    /** Adds [increment] to the counter [name]. */
    fun count(name: String, increment: Int = 1) {
        counters.getAndAdd(name, increment.toLong())
    }

    /** Records [durationMs] in the histogram [name], limited to the range from 0 to [MAX_DURATION_MS]. */
    fun recordDuration(name: String, durationMs: Long) {
        durations.getOrPut(name) { Histogram(MAX_DURATION_MS, SIGNIFICANT_DIGITS) }
            .recordValue(durationMs.coerceIn(0, MAX_DURATION_MS))
    }

    /** Logs and resets all counters and histograms if [LOG_INTERVAL_MS] have passed since the last reset. */
    fun logPeriodically() {
        val intervalMs = nowMs() - intervalStartMs
        if (intervalMs < LOG_INTERVAL_MS) return
        log.info(
            "interval_s={} metrics, counts: {}; duration_ms (p50, p99): {}",
            intervalMs / MS_PER_S,
            formatCounts(),
            formatDurations(),
        )
        intervalStartMs = nowMs()
        counters.clear()
        durations.values.forEach { it.reset() }
    }

    /** Returns each counter's name and value, sorted by name. */
    fun formatCounts(): String {
        val sorted = sortedMapOf<String, Long>()
        counters.forEach { name, count -> sorted[name] = count }
        return sorted.entries.joinToString { "${it.key} ${it.value}" }
    }

    /** Returns each histogram's name, median and 99th percentile in milliseconds, sorted by name. */
    fun formatDurations(): String = durations.entries.sortedBy { it.key }.filter { it.value.totalCount > 0 }
        .joinToString { (name, histogram) ->
            "$name ${histogram.getValueAtPercentile(MEDIAN)}, ${histogram.getValueAtPercentile(HIGH_PERCENTILE)}"
        }

    private companion object {
        const val LOG_INTERVAL_MS = 60_000L
        const val MS_PER_S = 1_000L
        const val MAX_DURATION_MS = 600_000L
        const val SIGNIFICANT_DIGITS = 2
        const val MEDIAN = 50.0
        const val HIGH_PERCENTILE = 99.0
    }
}
