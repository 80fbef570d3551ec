package io.otterknot.records

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RecordSegmentsTest {
    @Test
    fun `names are packed into few segments and only changed segments are written`() {
        val stored = mapOf(0 to mapOf("m1" to "g", "m2" to "g"), 1 to mapOf("m3" to "g"))
        assertEquals(emptyMap<Int, Any>(), RecordSegments.redistribute(stored, emptySet(), mapOf("m2" to "g"), 2))
        assertEquals(
            mapOf(1 to mapOf("m3" to "g", "m4" to "h")),
            RecordSegments.redistribute(stored, emptySet(), mapOf("m4" to "h"), 2),
        )
        val full = RecordSegments.redistribute(stored, setOf("m3"), mapOf("m4" to "h", "m5" to "h", "m6" to "h"), 2)
        assertEquals(mapOf(1 to setOf("m4", "m5"), 2 to setOf("m6")), full.mapValues { it.value.keys })
        assertEquals(
            mapOf(1 to emptyMap<String, String>()),
            RecordSegments.redistribute(stored, setOf("m3"), emptyMap(), 2),
            "a segment without names is returned empty, to be removed",
        )
    }

    /**
     * A segment written when values could be larger stays as it is until it changes. When it is split, each name must
     * be in some segment at any time, even if only the first part of the result is written.
     */
    @Test
    fun `a segment above the limit is split when it is next written, with the receiving segments first`() {
        val large = mapOf(0 to (1..7).associate { "m$it" to "g" }, 1 to mapOf("m8" to "g"))
        assertEquals(listOf(1), RecordSegments.redistribute(large, emptySet(), mapOf("m9" to "g"), 3).keys.toList())
        val split = RecordSegments.redistribute(large, setOf("m2"), emptyMap(), 3)
        assertEquals(listOf(1, 2, 0), split.keys.toList())
        assertEquals(setOf("m1", "m3", "m4"), split.getValue(0).keys)
        assertEquals((1..8).filter { it != 2 }.map { "m$it" }.toSet(), split.values.flatMap { it.keys }.toSet())
        // If only segment 1 was written, the next call removes from segment 0 the names that segment 1 has received.
        val resumed = RecordSegments.redistribute(large + mapOf(1 to split.getValue(1)), setOf("m2"), emptyMap(), 3)
        assertEquals(split.getValue(0), resumed.getValue(0))
        assertEquals(
            large.values.flatMap { it.keys }.toSet() - "m2",
            (mapOf(1 to split.getValue(1)) + resumed).values.flatMap { it.keys }.toSet(),
        )
    }

    /** Guards against a segment of many long names that is larger than a value may be, and is never written. */
    @Test
    fun `a segment has no more entries than its size allows, and a larger entry has a segment of its own`() {
        val added = (1..40).associate { "m".repeat(5 * it) to "g" }
        val segments = RecordSegments.redistribute(emptyMap(), emptySet(), added, 150) { it.key.length }
        assertEquals(added.keys, segments.values.flatMap { it.keys }.toSet())
        assertTrue(segments.values.all { names -> names.size == 1 || names.keys.sumOf { it.length } <= 150 })
        assertTrue(segments.size < 40)
        val split = RecordSegments.redistribute(mapOf(0 to added), setOf("m".repeat(5)), emptyMap(), 150) {
            it.key.length
        }
        assertTrue(split.values.all { names -> names.size == 1 || names.keys.sumOf { it.length } <= 150 })
        assertEquals(added.keys - "m".repeat(5), split.values.flatMap { it.keys }.toSet())
    }
}
