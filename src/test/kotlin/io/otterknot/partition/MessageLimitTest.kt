package io.otterknot.partition

import io.otterknot.jobs.Job
import io.otterknot.records.JobRecord
import io.otterknot.records.TerminalState
import io.otterknot.testing.MESSAGE_LIMIT_BYTES
import io.otterknot.testing.applyRecord
import io.otterknot.testing.verboseReport
import io.otterknot.wire.CommandOperation
import io.otterknot.wire.ExitCause
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.Priority
import io.otterknot.wire.TaskState
import io.otterknot.wire.TaskStatus
import io.otterknot.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/**
 * A machine reports all its tasks in one message of at most 64 KiB. Without a bound on the number of tasks, thousands of
 * small ones went to one machine, its reports were refused, and everything on it was lost, again and again.
 */
class MessageLimitTest : PartitionFixture() {
    private fun smallJob(
        number: Int,
        tasks: Int,
        cores: Double = 0.002,
        priority: Priority = Priority.HIGH,
        team: String = "red",
    ): Job = job(number, tasks, cores, priority, team, memoryGb = 0.0)

    /** The size of the longest report of a machine with the tasks of [commands]. */
    private fun longestReportBytes(commands: List<HeartbeatCommand>): Int {
        val statuses = commands.map { TaskStatus(it.task, it.attempt, TaskState.EXITED, ExitCause.STOPPED, false) }
        return verboseReport(Heartbeat("m1", "10.1.0.232:9000", "big", "a", true, 1, 1, TOKEN, 20.0, statuses)).length
    }

    /** Starts as many of the tasks of [job] on m1 as the partition allows. */
    private fun Partition.fill(job: Job, now: Long = 10): List<HeartbeatCommand> {
        register("m1")
        updateJob(job, inherited = false)
        return heartbeat("m1", TOKEN, now).starts()
    }

    /** Guards against a machine that gets more tasks than its reports may name. */
    @ParameterizedTest
    @ValueSource(doubles = [0.0, 0.002, 0.01, 0.5])
    fun `a machine gets no more tasks than it can report`(cores: Double) {
        val starts = partition().fill(smallJob(1, 4_000, cores))
        assertTrue(longestReportBytes(starts) <= MESSAGE_LIMIT_BYTES)
        // Most of the space is used: a machine is not left idle.
        val expected = if (cores > 0.01) 16 else 400
        assertTrue(starts.size >= expected, "${starts.size} starts")
    }

    /** Guards against exited tasks that the worker still reports beside as many new ones. */
    @Test
    fun `exited tasks take space in reports until the worker has forgotten them`() {
        val partition = partition()
        val job = smallJob(1, 4_000)
        var reported = partition.fill(job)
        repeat(5) { round ->
            val now = 1_000L * (round + 1)
            val statuses = reported.map { it.exited(ExitCause.DONE) }
            val commands = partition.heartbeat("m1", TOKEN, now, statuses).commands()
            val forgotten = commands.filter { it.op == CommandOperation.FORGET }.map { it.attempt }.toSet()
            val starts = commands.filter { it.op == CommandOperation.START }
            reported = reported.filterNot { it.attempt in forgotten } + starts
            assertTrue(longestReportBytes(reported) <= MESSAGE_LIMIT_BYTES, "round $round: ${reported.size} tasks")
            reported.forEach { job.completedTasks.set(it.task.substringAfter('/').toInt()) }
            partition.applyCompletions(job)
        }
        assertTrue(job.completedTasks.cardinality() > 1_000, "${job.completedTasks.cardinality()} tasks done")
    }

    /** Guards against exits that are counted as gone when the job ends before the worker has forgotten them. */
    @Test
    fun `tasks of a cancelled job take space in reports until they are forgotten`() {
        val partition = partition()
        val cancelled = smallJob(1, 4_000)
        val starts = partition.fill(cancelled)
        partition.heartbeat("m1", TOKEN, 20, starts.running())
        partition.updateJob(smallJob(2, 4_000), inherited = false)
        cancelled.applyRecord(JobRecord(terminalState = TerminalState.CANCELLED, taskCount = 4_000), version = 2)
        partition.updateJob(cancelled, inherited = false)
        val halting = partition.heartbeat("m1", TOKEN, 30, starts.running())
        assertEquals(starts.size, halting.operations().count { it == CommandOperation.HALT })
        assertTrue(halting.starts().isEmpty())
        val forgetting = partition.heartbeat("m1", TOKEN, 40, starts.map { it.exited(ExitCause.STOPPED) })
        assertEquals(starts.size, forgetting.operations().count { it == CommandOperation.FORGET })
        assertTrue(longestReportBytes(starts + forgetting.starts()) <= MESSAGE_LIMIT_BYTES)
        assertTrue(partition.heartbeat("m1", TOKEN, 50).starts().size > 100)
    }

    /** Guards against small tasks that fill the reports of all machines while the tasks of others find free cores. */
    @Test
    fun `an ordinary task starts where small tasks use all the space that they may`() {
        val partition = partition()
        val small = partition.fill(smallJob(1, 4_000, cores = 0.0))
        partition.heartbeat("m1", TOKEN, 20, small.running())
        partition.updateJob(job(2, 8, cores = 1.0, team = "blue"), inherited = false)
        val ordinary = partition.heartbeat("m1", TOKEN, 30, small.running()).starts()
        assertEquals(8, ordinary.count { it.task.startsWith("j-000002/") })
        assertTrue(longestReportBytes(small + ordinary) <= MESSAGE_LIMIT_BYTES)
    }

    /** Guards against a team that keeps the space of reports for itself because its tasks use no cores. */
    @Test
    fun `teams share the space of reports`() {
        val partition = partition()
        partition.register("m1")
        partition.updateJob(smallJob(1, 4_000, cores = 0.0), inherited = false)
        partition.updateJob(smallJob(2, 4_000, cores = 0.0, team = "blue"), inherited = false)
        val byJob = partition.heartbeat("m1", TOKEN, 10).starts().groupingBy {
            it.task.substringBefore('/')
        }.eachCount()
        assertEquals(2, byJob.size)
        assertTrue(byJob.values.max() - byJob.values.min() <= 1, "$byJob")
    }

    /** Guards against an urgent task that waits beside a machine whose reports are full of less urgent tasks. */
    @Test
    fun `a task of higher priority preempts where only the space of reports is short`() {
        val partition = partition()
        val lower = partition.fill(smallJob(1, 4_000, priority = Priority.BEST_EFFORT))
        partition.heartbeat("m1", TOKEN, 20, lower.running())
        partition.updateJob(smallJob(2, 3), inherited = false)
        val halts = partition.heartbeat("m1", TOKEN, 60_000, lower.running()).commands()
        assertEquals(List(3) { CommandOperation.HALT }, halts.map { it.op })
        val halted = halts.map { it.attempt }.toSet()
        val stopped = lower.map {
            if (it.attempt in halted) it.exited(ExitCause.STOPPED) else it.status()
        }
        val forgets = partition.heartbeat("m1", TOKEN, 60_500, stopped).operations()
        assertEquals(List(3) { CommandOperation.FORGET }, forgets)
        val starts = partition.heartbeat("m1", TOKEN, 61_000, stopped.filterNot { it.attempt in halted }).starts()
        assertEquals(3, starts.count { it.task.startsWith("j-000002/") })
    }

    /** Guards against a job of small tasks for which no machine is ever rented, and no partition ever looks full. */
    @Test
    fun `small tasks count as demand and load by the space that they need in reports`() {
        val partition = partition()
        partition.updateJob(smallJob(1, 4_000, cores = 0.0), inherited = false)
        assertTrue(partition.load.demand { true } > 100, "demand ${partition.load.demand { true }}")
        val starts = partition.fill(smallJob(2, 1, cores = 0.0))
        assertTrue(starts.isNotEmpty())
        partition.heartbeat("m1", TOKEN, 20, starts.running())
        assertTrue(partition.load.mean() > 5, "mean ${partition.load.mean()}")
        val job = checkNotNull(partition.job("j-000001"))
        val reserved = partition.reserveForReassignment(job, cores = 8.0)
        assertTrue(reserved.cardinality() in 100..600, "${reserved.cardinality()} tasks for the cores of one machine")
    }

    /** Guards against the loss of a machine that a leader without this bound has filled. */
    @Test
    fun `a machine with more tasks than it can report when they exit is relieved of some`() {
        val partition = partition()
        partition.register("m1")
        partition.updateJob(smallJob(1, 4_000), inherited = false)
        var statuses = (0 until 850).map { TaskStatus("j-000001/$it", 100L + it, TaskState.RUNNING) }
        repeat(6) { round ->
            val report = Heartbeat("m1", "", "big", "a", false, 1, 10L + round, TOKEN, null, statuses)
            val bytes = WireJson.encodeToString(Heartbeat.serializer(), report).length
            assertTrue(bytes <= MESSAGE_LIMIT_BYTES, "round $round: $bytes bytes")
            val answer = partition.applyHeartbeat(report, 1_000L * (round + 1), bytes) as HeartbeatDecision.Answer
            val halted = answer.commands.filter { it.op == CommandOperation.HALT }.map { it.attempt }.toSet()
            val forgotten = answer.commands.filter { it.op == CommandOperation.FORGET }.map { it.attempt }.toSet()
            val started = answer.commands.filter { it.op == CommandOperation.START }.map { it.status() }
            statuses = statuses.filterNot { it.attempt in forgotten }.map {
                val exited = it.copy(state = TaskState.EXITED, cause = ExitCause.STOPPED, saved = false)
                if (it.attempt in halted) exited else it
            } + started
        }
        val longest = statuses.map { it.copy(state = TaskState.EXITED, cause = ExitCause.STOPPED, saved = false) }
        val report = Heartbeat("m1", "", "big", "a", false, 1, 99, TOKEN, null, longest)
        assertTrue(verboseReport(report).length <= MESSAGE_LIMIT_BYTES)
        assertTrue(statuses.size > 400, "${statuses.size} tasks are left")
    }
}
