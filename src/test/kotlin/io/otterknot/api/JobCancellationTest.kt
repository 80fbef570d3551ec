package io.otterknot.api

import io.otterknot.records.JobRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.TaskSpan
import io.otterknot.records.TerminalState
import io.otterknot.records.decodeRecord
import io.otterknot.store.WriteLimits
import io.otterknot.testing.StoreFixture
import io.otterknot.testing.jobChange
import io.otterknot.testing.smallJob
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Cancellation of a job while the rate limit on changes delays the transaction. */
class JobCancellationTest {
    private val id = "j-000001"
    private val spec = smallJob(id)

    /**
     * Guards against two terminal states of one job: a job that completed while its cancellation waited for the rate
     * limit was reported as "aborted" to one user and as done to others. Found by a simulated day of wisniewski-hunt.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a job that completes while its cancellation waits for the rate limit stays done`() = runTest {
        val fixture = StoreFixture(this, changesPerS = 5.0)
        val replica = fixture.replica
        val api = JobApi(
            JobStoreAccess(fixture.client, replica, fixture.readJobs(), WriteLimits(8_192, 40)),
            JobAdmission(teams = emptyList()) { emptyList() },
            partitions = emptyMap(),
            partitionViews = { emptyList() },
            isIsolated = { false },
            wallMs = fixture.now,
            random = Random(1),
        )
        val background = listOf(launch { replica.followWatch() }, launch { replica.serveReadBarriers() })
        replica.awaitLoaded()
        fixture.state.store(jobChange(id, JobRecord(spec, listOf(TaskSpan("a", 0, 1)))))
        delay(200)
        // Uses up the burst of the rate limiter, so that the cancellation waits for most of a second.
        repeat(7) { launch { fixture.budget.tryAcquire(1, 2_000) } }
        val response = async { api.cancel(id) }
        delay(100)
        assertTrue(response.isActive, "the cancellation waits for the rate limit")
        fixture.state.store(jobChange(id, JobRecord(terminalState = TerminalState.DONE, taskCount = 1)))
        assertTrue(response.await().body.decodeToString().contains("done"))
        val stored = decodeRecord(JobRecord.serializer(), fixture.state.value(StoreKeys.job(id))!!)
        assertEquals(TerminalState.DONE, stored.terminalState, "at ${testScheduler.currentTime} ms")
        background.forEach { it.cancel() }
    }
}
