package io.otterknot.metrics

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class MetricsTest {
    @Test
    fun `counts are summed and durations reported as median and 99th percentile`() {
        val metrics = Metrics { 0 }
        metrics.count("changes", 3)
        metrics.count("changes")
        for (ms in 1L..100L) metrics.recordDuration("barrier", ms)
        assertEquals("changes 4", metrics.formatCounts())
        assertEquals("barrier 50, 99", metrics.formatDurations())
    }
}
