package io.otterknot.soak

import io.otterknot.http.HttpResponse
import io.otterknot.http.HttpStatus
import io.otterknot.testing.CANCEL_S
import io.otterknot.testing.MESSAGE_LIMIT_BYTES
import io.otterknot.testing.ObservedMachine
import io.otterknot.testing.SafetyChecks
import io.otterknot.testing.SimulatedTask
import io.otterknot.testing.SimulatedUsers
import io.otterknot.testing.smallJob
import io.otterknot.wire.JobSpec
import io.otterknot.wire.JobState
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/** Feeds the checker of the simulated cluster and of the soak a violation of each rule. */
class SafetyChecksTest {
    @ParameterizedTest
    @MethodSource("violations")
    fun `a violation of each rule is found`(case: Violation) {
        val site = ObservedSite()
        case.cause(site)
        assertTrue(site.checks.violations.any { it.startsWith(case.rule) }, "found ${site.checks.violations}")
    }

    @Test
    fun `a job that is accepted, runs once and ends violates no rule`() {
        val site = ObservedSite()
        val job = site.accept(smallJob("j-000001"))
        site.start("m1", job)
        site.finish("m1", job)
        site.answer(job, JobState.DONE)
        site.nowMs += 100_000
        site.checks.inspect()
        assertEquals(emptyList<String>(), site.checks.violations)
    }

    @Test
    fun `a state reported for a job that nobody submitted is found`() = runTest {
        val site = ObservedSite()
        val users = SimulatedUsers(this, Random(1), { 0 }, listOf("n"), site.checks) { _, _, _, _, _ ->
            HttpResponse(HttpStatus.OK, ByteArray(0))
        }
        users.pollUnknownJob("j-999999")
        assertEquals(listOf("invented: j-999999"), site.checks.violations)
    }

    class Violation(val rule: String, private val description: String, val cause: ObservedSite.() -> Unit) {
        override fun toString() = "$rule: $description"
    }

    /** A machine whose tasks the test sets. */
    class FakeMachine(override val id: String, override val zone: String, override val spot: Boolean) :
        ObservedMachine {
        val tasks = HashMap<String, SimulatedTask>()
        override val freeCores = 8.0
        override val isHealthy = true

        override fun runningTasks() = tasks

        override fun activeTasks() = tasks.keys
    }

    /** Two ordinary machines in different zones, a spot machine, and what their users are told. */
    class ObservedSite {
        var nowMs = 0L
        private val machines = listOf(
            FakeMachine("m1", "a", spot = false),
            FakeMachine("m2", "b", spot = false),
            FakeMachine("m3", "a", spot = true),
        ).associateBy { it.id }
        val checks = SafetyChecks({ nowMs }, mapOf("red" to 2.0)) { machines.values }

        fun accept(spec: JobSpec): JobSpec {
            checks.specs[spec.id] = spec
            checks.onAccepted(spec)
            answer(spec, JobState.QUEUED)
            return spec
        }

        fun answer(spec: JobSpec, state: JobState) {
            val body = """{"Uid":"${spec.id}","Mood":"${state.name.lowercase().replace("cancelled", "aborted")}"}"""
            val response = HttpResponse(HttpStatus.OK, body.encodeToByteArray())
            checks.onAnswered(spec, response, checks.lastReportedState(spec.id))
        }

        fun cancel(spec: JobSpec) {
            checks.cancellationRequested.add(spec.id)
            answer(spec, JobState.CANCELLED)
        }

        fun start(machine: String, spec: JobSpec, task: Int = 0) {
            val name = "${spec.id}/$task"
            checks.onTaskStart(machines.getValue(machine), name, spec)
            machines.getValue(machine).tasks[name] = SimulatedTask(spec.id, attempt = 1)
        }

        fun finish(machine: String, spec: JobSpec) {
            machines.getValue(machine).tasks.remove("${spec.id}/0")
            checks.onTaskCompleted("${spec.id}/0", spec)
        }
    }

    companion object {
        private val JOB = smallJob("j-000001", tasks = 3)
        private const val AFTER_CANCEL_MS = (CANCEL_S * 1000).toLong() + 1

        @JvmStatic
        fun violations() = listOf(
            Violation("too large", "a report above 64 KiB") { checks.onMessage("report", MESSAGE_LIMIT_BYTES + 1) },
            Violation("ran_twice", "a task starts on a second machine") {
                accept(JOB)
                start("m1", JOB)
                start("m2", JOB)
            },
            Violation("quota", "a team uses more than its limit") {
                accept(JOB)
                for (task in 0..2) start("m1", JOB, task)
            },
            Violation("wrong_place", "a task that may not use spot machines starts on one") {
                start("m3", accept(JOB.copy(spot = false)))
            },
            Violation("wrong_place", "a task starts in another zone than its job allows") {
                start("m2", accept(JOB.copy(zone = "a")))
            },
            Violation("ran_cancelled", "a task is on a machine long after the cancellation") {
                start("m1", accept(JOB))
                cancel(JOB)
                nowMs += AFTER_CANCEL_MS
                checks.inspect()
            },
            Violation("ran_cancelled", "a task starts long after the cancellation") {
                cancel(accept(JOB))
                nowMs += AFTER_CANCEL_MS
                start("m1", JOB)
            },
            Violation("forgotten", "an accepted job is not known") {
                checks.onAnswered(accept(JOB), HttpResponse(HttpStatus.NOT_FOUND, ByteArray(0)), JobState.QUEUED)
            },
            Violation("forgotten", "a repeated submission is refused") { checks.onRefused(JOB, 422) },
            Violation("forgotten", "no request about a job is answered for 75 s") {
                accept(JOB)
                checks.faultsClearedMs = 0
                nowMs += 76_000
                checks.inspect()
            },
            Violation("not_done", "a job is called done before its tasks are") { answer(accept(JOB), JobState.DONE) },
            Violation("went_back", "a cancelled job is called queued") {
                cancel(accept(JOB))
                answer(JOB, JobState.QUEUED)
            },
            Violation("went_back", "a job is called cancelled that nobody cancelled") {
                answer(accept(JOB), JobState.CANCELLED)
            },
            Violation("starved", "a job waits although a machine has room") {
                accept(JOB)
                checks.faultsClearedMs = 0
                checks.inspect()
                nowMs += 91_000
                checks.inspect()
            },
        )
    }
}
