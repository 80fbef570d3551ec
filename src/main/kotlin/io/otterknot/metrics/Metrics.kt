package io.otterknot.metrics

import org.HdrHistogram.Histogram
import org.agrona.collections.Object2LongCounterMap
import org.slf4j.LoggerFactory

/** What this node has asked of the state service and how long things took, told once a minute. */
class Metrics(private val nowMs: () -> Long) {
    private val log = LoggerFactory.getLogger(Metrics::class.java)
    private val counts = Object2LongCounterMap<String>(0L)
    private val times = HashMap<String, Histogram>()
    private var sinceMs = nowMs()

    fun count(what: String, number: Int = 1) {
        counts.getAndAdd(what, number.toLong())
    }

    fun recordDuration(what: String, ms: Long) {
        times.getOrPut(what) { Histogram(LONGEST_MS, DIGITS) }.recordValue(ms.coerceIn(0, LONGEST_MS))
    }

    fun logPeriodically() {
        if (nowMs() - sinceMs < EVERY_MS) return
        log.info("in {} s: {}; ms (half, 99%): {}", (nowMs() - sinceMs) / 1000, countsText(), timesText())
        sinceMs = nowMs()
        counts.clear()
        times.values.forEach { it.reset() }
    }

    fun countsText(): String {
        val partitions = sortedMapOf<String, Long>()
        counts.forEach { what, number -> partitions[what] = number }
        return partitions.entries.joinToString { "${it.key} ${it.value}" }
    }

    fun timesText(): String = times.entries.sortedBy { it.key }.filter { it.value.totalCount > 0 }
        .joinToString { (what, taken) ->
            "$what ${taken.getValueAtPercentile(50.0)}, ${taken.getValueAtPercentile(99.0)}"
        }

    private companion object {
        const val EVERY_MS = 60_000L
        const val LONGEST_MS = 600_000L
        const val DIGITS = 2
    }
}
