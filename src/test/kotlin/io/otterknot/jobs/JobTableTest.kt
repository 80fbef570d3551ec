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

/** The state of a job follows from its own key and the completion segments, in whatever order they are read. */
class JobTableTest {
    private val id = "j-000001"
    private val key = StoreKeys.job(id)
    private val limits = WriteLimits(8_192, 40)
    private val spec = smallJob(id, tasks = 2)

    private fun record(record: JobRecord, version: Long): (JobTable) -> Unit =
        { it.applyJobChange(key, ReplicaEntry(encodeRecord(JobRecord.serializer(), record), version)) }

    /** A segment of an owner with [token], in which the tasks in [bits] are done. */
    private fun segment(token: Int, bits: String, version: Long): (JobTable) -> Unit = {
        val value = encodeRecord(CompletionSegmentRecord.serializer(), CompletionSegmentRecord(mapOf(id to bits)))
        it.applyCompletionSegment(StoreKeys.completionSegment("a", "$token-0"), ReplicaEntry(value, version))
    }

    private val accepted = record(JobRecord(spec, listOf(TaskSpan("a", 0, 2))), 1)
    private val firstTask = segment(4, "AQ", 2)
    private val secondTask = segment(9, "Ag", 3)

    private fun <T> permutations(of: List<T>): List<List<T>> = if (of.isEmpty()) {
        listOf(emptyList())
    } else {
        of.flatMap { first -> permutations(of - first).map { listOf(first) + it } }
    }

    @Test
    fun `a job is complete once its key and all completions are read, of whichever owner and in whatever order`() {
        for (order in permutations(listOf(accepted, firstTask, secondTask))) {
            val jobs = JobTable()
            for ((read, change) in order.withIndex()) {
                change(jobs)
                val finish = jobs[id]?.let { JobTransitions.finish(it, 5, limits) }
                assertEquals(read == order.size - 1, finish != null)
            }
            assertEquals(
                TerminalState.DONE,
                end(JobTransitions.finish(jobs[id]!!, 5, limits)!!.changes.single().value!!),
            )
        }
    }

    private fun end(value: JsonElement) = decodeRecord(JobRecord.serializer(), value).terminalState

    /** Neither completions that are read later nor anybody's wish leads away from a final state. */
    @Test
    fun `a job with a final state has no transition left`() {
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
    fun `a transition keeps the version it was decided on`() {
        val jobs = JobTable()
        accepted(jobs)
        val cancellation = JobTransitions.cancel(jobs[id]!!, 5, limits)!!
        record(JobRecord(terminalState = TerminalState.DONE, taskCount = 2), 6)(jobs)
        assertTrue(cancellation.conditions.single().let { it.key == key && it.version == 1L })
    }
}
