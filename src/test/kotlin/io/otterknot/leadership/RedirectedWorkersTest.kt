package io.otterknot.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

class RedirectedWorkersTest {
    @Test
    fun `machines that return from an unresponsive leader are counted and others are not`() {
        val redirected = RedirectedWorkers()
        listOf("m1", "m2", "m3").forEach { redirected.workerRedirected("a", it, hasLeftLeader = false, nowMs = 1_000) }
        redirected.workerRedirected("a", "m1", hasLeftLeader = false, nowMs = 1_300)
        assertEquals(0, redirected.returnCount("a", 1_400), "it may have crossed the first answer")
        redirected.workerRedirected("a", "m1", hasLeftLeader = false, nowMs = 2_500)
        redirected.workerRedirected("a", "m2", hasLeftLeader = false, nowMs = 2_800)
        redirected.workerRedirected("b", "m9", hasLeftLeader = false, nowMs = 2_800)
        assertEquals(2, redirected.returnCount("a", 3_000))
        assertEquals(0, redirected.returnCount("a", 9_000), "that was long ago")
        redirected.workerRedirected("a", "m3", hasLeftLeader = false, nowMs = 20_000)
        assertEquals(0, redirected.returnCount("a", 20_100), "it was served well for a while")
        redirected.workerRedirected("a", "m3", hasLeftLeader = false, nowMs = 21_000)
        redirected.clear("a")
        assertEquals(0, redirected.returnCount("a", 21_100))
        listOf("m1", "m2").forEach { redirected.workerRedirected("a", it, hasLeftLeader = true, nowMs = 30_000) }
        redirected.workerRedirected("a", "new", hasLeftLeader = false, nowMs = 30_000)
        assertEquals(
            2,
            redirected.departureCount("a", 30_500),
            "a machine that is not registered yet looks for its owner",
        )
        assertEquals(0, redirected.departureCount("a", 35_000))
    }

    /** Dropped by time, whatever their number: by number alone, few would stay for ever and many be looked at each time. */
    @ParameterizedTest
    @ValueSource(ints = [100, 6_000])
    fun `redirected machines are remembered for some seconds`(machines: Int) {
        val redirected = RedirectedWorkers()
        repeat(machines) { redirected.workerRedirected("a", "m$it", hasLeftLeader = true, nowMs = 1_000) }
        assertEquals(machines, redirected.departureCount("a", 4_000))
        redirected.workerRedirected("a", "later", hasLeftLeader = true, nowMs = 20_000)
        assertEquals(1, redirected.size)
    }
}
