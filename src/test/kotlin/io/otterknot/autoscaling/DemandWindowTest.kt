package io.otterknot.autoscaling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class DemandWindowTest {
    @Test
    fun `update returns the quantile of recent demand, or current demand if that is higher`() {
        val window = DemandWindow(spanMs = 20_000, sampleIntervalMs = 1_000)
        var nowMs = 0L
        for (demand in listOf(100.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0)) {
            window.update(nowMs, demand, quantile = 0.5)
            nowMs += 1_000
        }
        assertEquals(10.0, window.update(nowMs, 5.0, quantile = 0.5))
        assertEquals(100.0, window.update(nowMs, 5.0, quantile = 1.0))
        assertEquals(150.0, window.update(nowMs, 150.0, quantile = 0.5))
    }
}
