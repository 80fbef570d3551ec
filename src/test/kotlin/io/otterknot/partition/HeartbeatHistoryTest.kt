package io.otterknot.partition

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class HeartbeatHistoryTest {
    /** Of 6,000 machines more than 4,096 are released within minutes; a copy of a heartbeat may be as late as that. */
    @ParameterizedTest
    @CsvSource("10,4096", "6000,48000")
    fun `capacity for released machines grows with the partition`(machines: Int, capacity: Int) {
        val history = HeartbeatHistory { machines }
        repeat(50_000) { history.recordGone("m$it") }
        assertEquals(capacity, history.size)
    }
}
