package io.otterknot.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

class PlacementTargetTest {
    @Test
    fun `heartbeat after a placement replaces the load and clears the drift`() {
        val target = PlacementTarget(0.9, 0.05)
        assertEquals(target, PlacementCandidates(listOf(target)) { true }.choose(Random(1)) { 0.05 })

        target.reported(0.4, false)

        assertEquals(listOf(0.4, 0.0), listOf(target.load, target.drift))
    }
}
