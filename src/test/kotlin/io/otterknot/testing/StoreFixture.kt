package io.otterknot.testing

import io.otterknot.http.Transport
import io.otterknot.jobs.Job
import io.otterknot.jobs.JobTable
import io.otterknot.metrics.Metrics
import io.otterknot.ratelimit.RateLimiter
import io.otterknot.records.JobRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.encodeRecord
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.Snapshot
import io.otterknot.store.StoreReplica
import io.otterknot.wire.JobSpec
import io.otterknot.wire.KeyChange
import io.otterknot.wire.Priority
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlin.random.Random

/** A state service on virtual time, with client and replica of node `n`, which may write [changesPerS] changes/s. */
@OptIn(ExperimentalCoroutinesApi::class)
class StoreFixture(
    scope: TestScope,
    changesPerS: Double = 1_000.0,
    watchTransport: (FakeKeyValueStore) -> Transport = { it.link("n") },
    transport: (FakeKeyValueStore) -> Transport = { it.link("n") },
) {
    val now: () -> Long = { scope.testScheduler.currentTime }
    val state = FakeKeyValueStore(scope, Random(1), now)
    val budget = RateLimiter(1_000.0, changesPerS, now)
    val client = KeyValueStoreClient(transport(state), watchTransport(state), budget, Metrics(now))
    val replica = StoreReplica(client, Random(1), now, pauseMs = 20)

    /** Returns a job table that follows the changes of [replica] from now on. */
    fun readJobs(): JobTable {
        val jobs = JobTable()
        replica.onChange = { key, entry ->
            if (key.startsWith(StoreKeys.JOBS)) jobs.applyJobChange(key, entry)
            if (key.startsWith(StoreKeys.COMPLETIONS)) jobs.applyCompletionSegment(key, entry)
        }
        return jobs
    }
}

/** Sets the job's snapshot to [record] at [version], as if the replica had read it. */
fun Job.applyRecord(record: JobRecord, version: Long = 1) {
    snapshot = Snapshot(StoreKeys.job(id), record, version)
}

/** A job of [tasks] one-core tasks that run for one second. */
fun smallJob(id: String, tasks: Int = 1) =
    JobSpec(id, "k", "red", Priority.HIGH, tasks, 1.0, memoryGb = 1.0, image = "i", imageGb = 1.0, estimateS = 1.0)

/** The change that stores [record] under the key of the job [id]. */
fun jobChange(id: String, record: JobRecord) =
    KeyChange(put = StoreKeys.job(id), value = encodeRecord(JobRecord.serializer(), record))
