package io.otterknot.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class TakeoverMarkersTest {
    private var nowMs = 1_000L
    private val markers = TakeoverMarkers(leaseTtlMs = 20_000) { nowMs }

    @Test
    fun `without a marker no earlier leader may still act`() {
        assertEquals(1_000, markers.priorLeaderUntilMs("a", isForcedTakeover = false))
    }

    @Test
    fun `a leader that has just been taken over may act for one lease time to live`() {
        assertEquals(21_000, markers.priorLeaderUntilMs("a", isForcedTakeover = true))
    }

    @Test
    fun `a marker counts from when it was seen until it is removed`() {
        markers.markerChanged("a", isPresent = true)
        nowMs = 5_000
        assertEquals(21_000, markers.priorLeaderUntilMs("a", isForcedTakeover = false))
        assertEquals(5_000, markers.priorLeaderUntilMs("b", isForcedTakeover = false))
        nowMs = 30_000
        assertEquals(30_000, markers.priorLeaderUntilMs("a", isForcedTakeover = false))
        markers.markerChanged("a", isPresent = false)
        nowMs = 5_000
        assertEquals(5_000, markers.priorLeaderUntilMs("a", isForcedTakeover = false))
    }
}
