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

/** Responses to a submission whose transaction is answered late or never while the state of the job changes. */
class SubmissionResponseTest {
    private val id = "j-000001"
    private val spec = smallJob(id)

    private fun recordOf(state: String): JobRecord? = when (state) {
        "DONE", "CANCELLED" -> JobRecord(terminalState = TerminalState.valueOf(state), taskCount = 1)
        "OTHER_SUBMISSION" -> JobRecord(spec, listOf(TaskSpan("a", 0, 1)), nonce = "another")
        else -> null
    }

    /**
     * Guards against a response with a job state older than one that another request has shown already.
     *
     * [isApplied] is whether the transaction reaches the state service. Its reply arrives after [replyMs], or is lost if
     * that is past the timeout. [storedMeanwhile] is the record of the job that another writer stores before the reply.
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
        "false, 9000, OTHER_SUBMISSION, 200, QUEUED",
    )
    fun `the response is never older than a state that others have read`(
        isApplied: Boolean,
        replyMs: Long,
        storedMeanwhile: String,
        status: Int,
        state: JobState?,
    ) = runTest {
        val fixture = StoreFixture(this) { service ->
            val link = service.link("n")
            Transport { method, target, body, timeoutMs ->
                if (target != "/txn") return@Transport link.call(method, target, body, timeoutMs)
                val reply = if (isApplied) link.call(method, target, body, timeoutMs) else Reply.None("lost")
                delay(minOf(replyMs, timeoutMs))
                if (replyMs < timeoutMs) reply else Reply.None("no reply in time")
            }
        }
        val types = listOf(MachineType("big", 8.0, memoryGb = 64.0, zones = listOf("a")))
        val api = JobApi(
            JobStoreAccess(fixture.client, fixture.replica, fixture.readJobs(), WriteLimits(8_192, 40)),
            JobAdmission(listOf(TeamSettings("red"))) { types },
            partitions = emptyMap(),
            partitionViews = { listOf(PartitionView("a")) },
            isIsolated = { false },
            wallMs = fixture.now,
            random = Random(1),
        )
        val background =
            listOf(launch { fixture.replica.followWatch() }, launch { fixture.replica.serveReadBarriers() })
        fixture.replica.awaitLoaded()
        val pendingResponse = async { api.submit(submissionBody(spec)) }
        delay(300)
        recordOf(storedMeanwhile)?.let { fixture.state.store(jobChange(id, it)) }
        val response = pendingResponse.await()
        assertEquals(status, response.status)
        if (state != null) {
            val reported = WireJson.decodeFromString(JobStatus.serializer(), response.body.decodeToString())
            assertEquals(state, reported.state)
        }
        background.forEach { it.cancel() }
    }
}
