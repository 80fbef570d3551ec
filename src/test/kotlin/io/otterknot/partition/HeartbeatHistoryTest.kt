package io.otterknot.partition

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class HeartbeatHistoryTest {
    /**
     * Guards against a fixed capacity: in a partition of 6,000 machines more than 4,096 may be released within minutes,
     * and a copy of a heartbeat may be delayed by as long.
     */
    @ParameterizedTest
    @CsvSource("10,4096", "6000,48000")
    fun `the capacity for released machines grows with the partition`(machines: Int, capacity: Int) {
        val history = HeartbeatHistory { machines }
        repeat(50_000) { history.recordReleased("m$it") }
        assertEquals(capacity, history.size)
    }
}
