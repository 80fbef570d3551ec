package io.otterknot.records

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.BitSet

class TaskSpansTest {
    private val spans = listOf(TaskSpan("a", 0, 5), TaskSpan("b", 5, 9))
    private val spansAfterReassignment = listOf(
        TaskSpan("a", 0, 2),
        TaskSpan("c", 2, 4),
        TaskSpan("a", 4, 5),
        TaskSpan("b", 5, 7),
        TaskSpan("c", 7, 8),
        TaskSpan("b", 8, 9),
    )

    @Test
    fun `reassigned tasks change their partition and all others keep theirs`() {
        val tasks = BitSet()
        tasks.set(2, 4)
        tasks.set(7)
        assertEquals(spansAfterReassignment, TaskSpans.reassign(spans, tasks, "c"))
    }

    @Test
    fun `all tasks reassigned to one partition become one span`() {
        val tasks = BitSet()
        tasks.set(0, 9)
        assertEquals(listOf(TaskSpan("a", 0, 9)), TaskSpans.reassign(spansAfterReassignment, tasks, "a"))
    }
}
