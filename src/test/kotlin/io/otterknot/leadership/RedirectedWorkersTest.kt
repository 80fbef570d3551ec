package io.otterknot.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

class RedirectedWorkersTest {
    @Test
    fun `only machines that left or returned from an unresponsive leader are counted`() {
        val redirected = RedirectedWorkers()
        listOf("m1", "m2", "m3").forEach { redirected.workerRedirected("a", it, hasLeftLeader = false, nowMs = 1_000) }
        redirected.workerRedirected("a", "m1", hasLeftLeader = false, nowMs = 1_300)
        assertEquals(0, redirected.returnCount("a", 1_400), "the report may predate the redirect")
        redirected.workerRedirected("a", "m1", hasLeftLeader = false, nowMs = 2_500)
        redirected.workerRedirected("a", "m2", hasLeftLeader = false, nowMs = 2_800)
        redirected.workerRedirected("b", "m9", hasLeftLeader = false, nowMs = 2_800)
        assertEquals(2, redirected.returnCount("a", 3_000))
        assertEquals(0, redirected.returnCount("a", 9_000), "the returns are too old to count")
        redirected.workerRedirected("a", "m3", hasLeftLeader = false, nowMs = 20_000)
        assertEquals(0, redirected.returnCount("a", 20_100), "the earlier redirect has expired")
        redirected.workerRedirected("a", "m3", hasLeftLeader = false, nowMs = 21_000)
        redirected.clear("a")
        assertEquals(0, redirected.returnCount("a", 21_100))
        listOf("m1", "m2").forEach { redirected.workerRedirected("a", it, hasLeftLeader = true, nowMs = 30_000) }
        redirected.workerRedirected("a", "new", hasLeftLeader = false, nowMs = 30_000)
        assertEquals(
            2,
            redirected.departureCount("a", 30_500),
            "a machine that is not registered yet is only looking for its leader",
        )
        assertEquals(0, redirected.departureCount("a", 35_000))
    }

    /**
     * Redirects must expire by age, whatever their number. With a limit on the number, a few would never be evicted,
     * and with many all of them would be scanned at each report.
     */
    @ParameterizedTest
    @ValueSource(ints = [100, 6_000])
    fun `redirected machines are evicted by age`(machines: Int) {
        val redirected = RedirectedWorkers()
        repeat(machines) { redirected.workerRedirected("a", "m$it", hasLeftLeader = true, nowMs = 1_000) }
        assertEquals(machines, redirected.departureCount("a", 4_000))
        redirected.workerRedirected("a", "later", hasLeftLeader = true, nowMs = 20_000)
        assertEquals(1, redirected.size)
    }
}
