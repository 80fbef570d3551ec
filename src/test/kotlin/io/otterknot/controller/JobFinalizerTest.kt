package io.otterknot.controller

import io.otterknot.records.CompletionSegmentRecord
import io.otterknot.records.JobRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.TaskSpan
import io.otterknot.records.TerminalState
import io.otterknot.records.decodeRecord
import io.otterknot.records.encodeRecord
import io.otterknot.store.WriteLimits
import io.otterknot.testing.StoreFixture
import io.otterknot.testing.jobChange
import io.otterknot.testing.leadership
import io.otterknot.testing.smallJob
import io.otterknot.testing.startLeadership
import io.otterknot.wire.KeyChange
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Writing the terminal states of jobs in batches. */
class JobFinalizerTest {
    private val ids = (1..6).map { "j-%06d".format(it) }

    /**
     * Guards against writing a terminal state that was decided before earlier batches were written. A job that was
     * cancelled in between was reported to users first as cancelled and from then on as done.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a job cancelled while earlier batches are written stays cancelled`() = runTest {
        val fixture = StoreFixture(this, changesPerS = 2.0)
        val client = fixture.client
        val jobs = fixture.readJobs()
        val replica = fixture.replica
        val leadership = fixture.leadership("n", mapOf("n" to "a"))
        startLeadership(fixture, leadership)
        while (leadership.actingToken("a") == null) delay(50)
        val completions = CompletionSegmentRecord(ids.associateWith { "AQ" })
        val completionChange =
            KeyChange(
                put = StoreKeys.completionSegment("a", "1-0"),
                value = encodeRecord(CompletionSegmentRecord.serializer(), completions),
            )
        val acceptedJobs = ids.map { jobChange(it, JobRecord(smallJob(it), listOf(TaskSpan("a", 0, 1)))) }
        fixture.state.store(*acceptedJobs.toTypedArray(), completionChange)
        delay(500)
        val finalizer = JobFinalizer(StoreAccess(client, replica, WriteLimits(8_192, 1)), jobs, leadership, fixture.now)
        val finishing = launch { finalizer.finishAll() }
        // With one change per transaction and two changes per second, the last job has not been written yet.
        delay(700)
        fixture.state.store(jobChange(ids.last(), JobRecord(terminalState = TerminalState.CANCELLED, taskCount = 1)))
        finishing.join()
        val terminalStates = ids.map {
            decodeRecord(JobRecord.serializer(), fixture.state.value(StoreKeys.job(it))!!).terminalState
        }
        assertEquals(List(5) { TerminalState.DONE } + TerminalState.CANCELLED, terminalStates)
        currentCoroutineContext().cancelChildren()
    }
}
