package io.otterknot.api

import io.otterknot.config.TeamSettings
import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.records.JobRecord
import io.otterknot.records.TaskSpan
import io.otterknot.records.TerminalState
import io.otterknot.scheduling.PartitionView
import io.otterknot.store.WriteLimits
import io.otterknot.testing.StoreFixture
import io.otterknot.testing.jobChange
import io.otterknot.testing.smallJob
import io.otterknot.testing.submissionBody
import io.otterknot.wire.JobState
import io.otterknot.wire.JobStatus
import io.otterknot.wire.MachineType
import io.otterknot.wire.WireJson
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random

/** What is answered to a submission whose transaction was answered late or not at all, while the job went on. */
class SubmissionResponseTest {
    private val id = "j-000001"
    private val spec = smallJob(id)

    private fun recordOf(state: String): JobRecord? = when (state) {
        "DONE", "CANCELLED" -> JobRecord(terminalState = TerminalState.valueOf(state), taskCount = 1)
        "OTHERS" -> JobRecord(spec, listOf(TaskSpan("a", 0, 1)), nonce = "another")
        else -> null
    }

    /**
     * [isCarriedOut]: the transaction reaches the state service; [answerMs]: when its answer comes, past the limit it
     * is lost; [meanwhile]: what somebody else has stored of the job before that.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    @ParameterizedTest
    @CsvSource(
        "true, 0, NOTHING, 201, QUEUED",
        "true, 1500, NOTHING, 201, QUEUED",
        "true, 1500, DONE, 201, DONE",
        "true, 1500, CANCELLED, 201, CANCELLED",
        "true, 9000, NOTHING, 201, QUEUED",
        "true, 9000, CANCELLED, 200, CANCELLED",
        "false, 9000, NOTHING, 503, ",
        "false, 9000, OTHERS, 200, QUEUED",
    )
    fun `the answer is not older than what others were told`(
        isCarriedOut: Boolean,
        answerMs: Long,
        meanwhile: String,
        status: Int,
        state: JobState?,
    ) = runTest {
        val bench = StoreFixture(this) { service ->
            val link = service.link("n")
            Transport { method, target, body, timeoutMs ->
                if (target != "/txn") return@Transport link.call(method, target, body, timeoutMs)
                val reply = if (isCarriedOut) link.call(method, target, body, timeoutMs) else Reply.None("lost")
                delay(minOf(answerMs, timeoutMs))
                if (answerMs < timeoutMs) reply else Reply.None("no answer in time")
            }
        }
        val types = listOf(MachineType("big", 8.0, memoryGb = 64.0, zones = listOf("a")))
        val api = JobApi(
            JobStoreAccess(bench.client, bench.replica, bench.readJobs(), WriteLimits(8_192, 40)),
            JobAdmission(listOf(TeamSettings("red"))) { types },
            partitions = emptyMap(),
            partitionViews = { listOf(PartitionView("a")) },
            isIsolated = { false },
            wallMs = bench.now,
            random = Random(1),
        )
        val background = listOf(launch { bench.replica.followWatch() }, launch { bench.replica.serveReadBarriers() })
        bench.replica.awaitLoaded()
        val answer = async { api.submit(submissionBody(spec)) }
        delay(300)
        recordOf(meanwhile)?.let { bench.state.store(jobChange(id, it)) }
        val response = answer.await()
        assertEquals(status, response.status)
        if (state != null) {
            val told = WireJson.decodeFromString(JobStatus.serializer(), response.body.decodeToString())
            assertEquals(state, told.state)
        }
        background.forEach { it.cancel() }
    }
}
