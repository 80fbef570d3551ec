package io.otterknot.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class LeadershipSettingsTest {
    @Test
    fun `controllers have distinct acquisition ranks, with the controller of the zone first`() {
        val domains = mapOf("n0" to "a", "n1" to "b", "n2" to "c")
        val zones = listOf("a", "b", "c", "d")
        for (zone in zones) {
            assertEquals(
                listOf(0, 1, 2),
                domains.keys.map { LeadershipSettings(it, zones, domains, 20_000).acquisitionRank(zone) }.sorted(),
            )
        }
        assertEquals(0, LeadershipSettings("n1", zones, domains, 20_000).acquisitionRank("b"))
    }
}
