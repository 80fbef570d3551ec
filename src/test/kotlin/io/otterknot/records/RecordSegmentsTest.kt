package io.otterknot.records

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class RecordSegmentsTest {
    @Test
    fun `records share few keys and only keys that change are written`() {
        val kept = mapOf(0 to mapOf("m1" to "g", "m2" to "g"), 1 to mapOf("m3" to "g"))
        assertEquals(emptyMap<Int, Any>(), RecordSegments.redistribute(kept, emptySet(), mapOf("m2" to "g"), 2))
        assertEquals(
            mapOf(1 to mapOf("m3" to "g", "m4" to "h")),
            RecordSegments.redistribute(kept, emptySet(), mapOf("m4" to "h"), 2),
        )
        val full = RecordSegments.redistribute(kept, setOf("m3"), mapOf("m4" to "h", "m5" to "h", "m6" to "h"), 2)
        assertEquals(mapOf(1 to setOf("m4", "m5"), 2 to setOf("m6")), full.mapValues { it.value.keys })
        assertEquals(
            mapOf(1 to emptyMap<String, String>()),
            RecordSegments.redistribute(kept, setOf("m3"), emptyMap(), 2),
            "an empty one is to be removed",
        )
    }

    /** What was written when values could be larger: left alone until it changes, and then no name is ever in none. */
    @Test
    fun `a segment above the limit is split when it is next written, and what moves is elsewhere first`() {
        val large = mapOf(0 to (1..7).associate { "m$it" to "g" }, 1 to mapOf("m8" to "g"))
        assertEquals(listOf(1), RecordSegments.redistribute(large, emptySet(), mapOf("m9" to "g"), 3).keys.toList())
        val split = RecordSegments.redistribute(large, setOf("m2"), emptyMap(), 3)
        assertEquals(listOf(1, 2, 0), split.keys.toList())
        assertEquals(setOf("m1", "m3", "m4"), split.getValue(0).keys)
        assertEquals((1..8).filter { it != 2 }.map { "m$it" }.toSet(), split.values.flatMap { it.keys }.toSet())
        // Only the first of them was written: the next round drops from the large one what is there already.
        val half = RecordSegments.redistribute(large + mapOf(1 to split.getValue(1)), setOf("m2"), emptyMap(), 3)
        assertEquals(split.getValue(0), half.getValue(0))
        assertEquals(
            large.values.flatMap { it.keys }.toSet() - "m2",
            (mapOf(1 to split.getValue(1)) + half).values.flatMap { it.keys }.toSet(),
        )
    }
}
