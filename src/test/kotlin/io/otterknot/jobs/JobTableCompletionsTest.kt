package io.otterknot.jobs

import io.otterknot.records.CompletionSegmentRecord
import io.otterknot.records.JobRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.TerminalState
import io.otterknot.records.encodeRecord
import io.otterknot.store.ReplicaEntry
import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class JobTableCompletionsTest {
    @Test
    fun `a completion changes its job only once, and not if the job has ended`() {
        val table = JobTable()
        val spec =
            JobSpec("j-1", "k", "t", Priority.HIGH, 4, 1.0, memoryGb = 1.0, image = "i", imageGb = 1.0, estimateS = 1.0)
        fun job(id: String, final: TerminalState?) = table.applyJobChange(
            StoreKeys.job(id),
            ReplicaEntry(
                encodeRecord(
                    JobRecord.serializer(),
                    JobRecord(spec.copy(id = id).takeIf { final == null }, terminalState = final),
                ),
                1,
            ),
        )
        fun segment(bits: Map<String, String>) = table.applyCompletionSegment(
            StoreKeys.completionSegment("a", "7-0"),
            ReplicaEntry(encodeRecord(CompletionSegmentRecord.serializer(), CompletionSegmentRecord(bits)), 2),
        ).map { it.id }
        job("j-1", null)
        job("j-2", null)
        assertEquals(listOf("j-1"), segment(mapOf("j-1" to "Aw")))
        assertEquals(listOf("j-2"), segment(mapOf("j-1" to "Aw", "j-2" to "DA")))
        assertEquals(listOf(2, 2), listOf("j-1", "j-2").map { table[it]!!.completedTasks.cardinality() })
        job("j-1", TerminalState.CANCELLED)
        assertTrue(!table.isBitmapNeeded("j-1") && table.isBitmapNeeded("j-2") && table.isBitmapNeeded("j-3.1"))
        assertEquals(listOf("j-2"), segment(mapOf("j-1" to "Dw", "j-2" to "Dw")))
        assertTrue(table["j-2"]!!.isComplete)
    }
}
