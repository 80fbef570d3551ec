package io.otterknot.jobs

import io.otterknot.records.CompletionSegmentRecord
import io.otterknot.records.JobRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.TaskSpan
import io.otterknot.records.TerminalState
import io.otterknot.records.decodeRecord
import io.otterknot.records.encodeRecord
import io.otterknot.store.ReplicaEntry
import io.otterknot.store.WriteLimits
import io.otterknot.testing.smallJob
import kotlinx.serialization.json.JsonElement
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

/** The state of a job must not depend on the order in which its own key and the completion segments are read. */
class JobTableTest {
    private val id = "j-000001"
    private val key = StoreKeys.job(id)
    private val limits = WriteLimits(8_192, 40)
    private val spec = smallJob(id, tasks = 2)

    private fun record(record: JobRecord, version: Long): (JobTable) -> Unit =
        { it.applyJobChange(key, ReplicaEntry(encodeRecord(JobRecord.serializer(), record), version)) }

    /** A segment of the leader with fencing token [fencingToken], in which the tasks in [bits] are completed. */
    private fun segment(fencingToken: Int, bits: String, version: Long): (JobTable) -> Unit = {
        val value = encodeRecord(CompletionSegmentRecord.serializer(), CompletionSegmentRecord(mapOf(id to bits)))
        it.applyCompletionSegment(StoreKeys.completionSegment("a", "$fencingToken-0"), ReplicaEntry(value, version))
    }

    private val accepted = record(JobRecord(spec, listOf(TaskSpan("a", 0, 2))), 1)
    private val firstTask = segment(4, "AQ", 2)
    private val secondTask = segment(9, "Ag", 3)

    private fun <T> permutations(items: List<T>): List<List<T>> = if (items.isEmpty()) {
        listOf(emptyList())
    } else {
        items.flatMap { first -> permutations(items - first).map { listOf(first) + it } }
    }

    @Test
    fun `a job is complete once its key and the completions of all leaders are read, in any order`() {
        for (order in permutations(listOf(accepted, firstTask, secondTask))) {
            val jobs = JobTable()
            for ((read, change) in order.withIndex()) {
                change(jobs)
                val finish = jobs[id]?.let { JobTransitions.finish(it, 5, limits) }
                assertEquals(read == order.size - 1, finish != null)
            }
            assertEquals(
                TerminalState.DONE,
                terminalStateOf(JobTransitions.finish(jobs[id]!!, 5, limits)!!.changes.single().value!!),
            )
        }
    }

    private fun terminalStateOf(value: JsonElement) = decodeRecord(JobRecord.serializer(), value).terminalState

    /** Neither later completions nor a cancellation or reassignment may replace a terminal state. */
    @Test
    fun `a job with a terminal state has no further transition`() {
        for (final in TerminalState.entries) {
            val ended = record(JobRecord(terminalState = final, taskCount = 2), 7)
            for (order in permutations(listOf(firstTask, secondTask, ended))) {
                val jobs = JobTable()
                accepted(jobs)
                order.forEach { it(jobs) }
                val job = jobs[id]!!
                assertEquals(final, job.terminalState)
                assertNull(JobTransitions.finish(job, 9, limits))
                assertNull(JobTransitions.cancel(job, 9, limits))
                assertNull(JobTransitions.reassign(job, BitSet().apply { set(0) }, "b"))
            }
        }
    }

    @Test
    fun `a transition is conditional on the version that it was decided on`() {
        val jobs = JobTable()
        accepted(jobs)
        val cancellation = JobTransitions.cancel(jobs[id]!!, 5, limits)!!
        record(JobRecord(terminalState = TerminalState.DONE, taskCount = 2), 6)(jobs)
        assertTrue(cancellation.conditions.single().let { it.key == key && it.version == 1L })
    }
}
