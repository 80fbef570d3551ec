package io.otterknot.records

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.BitSet

class TaskBitmapsTest {
    @Test
    fun `a set of tasks is unchanged after encoding and decoding in chunks`() {
        val bits = BitSet().also {
            it.set(3)
            it.set(TaskBitmaps.CHUNK_TASKS - 1)
            it.set(TaskBitmaps.CHUNK_TASKS + 5)
        }
        val read = BitSet()
        for (chunk in 0..1) TaskBitmaps.decodeInto(TaskBitmaps.encode(bits, chunk), chunk, read)
        assertEquals(bits, read)
    }
}
