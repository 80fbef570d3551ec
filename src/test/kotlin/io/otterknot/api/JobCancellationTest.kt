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

/** A cancellation that has to wait for its turn among the changes. */
class JobCancellationTest {
    private val id = "j-000001"
    private val spec = smallJob(id)

    /** Found in a drawn day of wisniewski-hunt: users were told "aborted" of jobs that others were told were done. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a job that ends while its cancellation waits stays done`() = runTest {
        val bench = StoreFixture(this, changesPerS = 5.0)
        val replica = bench.replica
        val api = JobApi(
            JobStoreAccess(bench.client, replica, bench.readJobs(), WriteLimits(8_192, 40)),
            JobAdmission(teams = emptyList()) { emptyList() },
            partitions = emptyMap(),
            partitionViews = { emptyList() },
            isIsolated = { false },
            wallMs = bench.now,
            random = Random(1),
        )
        val background = listOf(launch { replica.followWatch() }, launch { replica.serveReadBarriers() })
        replica.awaitLoaded()
        bench.state.store(jobChange(id, JobRecord(spec, listOf(TaskSpan("a", 0, 1)))))
        delay(200)
        // The burst is used up, so the cancellation waits for most of a second.
        repeat(7) { launch { bench.budget.tryAcquire(1, 2_000) } }
        val answer = async { api.cancel(id) }
        delay(100)
        assertTrue(answer.isActive, "it waits")
        bench.state.store(jobChange(id, JobRecord(terminalState = TerminalState.DONE, taskCount = 1)))
        assertTrue(answer.await().body.decodeToString().contains("done"))
        val stored = decodeRecord(JobRecord.serializer(), bench.state.value(StoreKeys.job(id))!!)
        assertEquals(TerminalState.DONE, stored.terminalState, "at ${testScheduler.currentTime} ms")
        background.forEach { it.cancel() }
    }
}
