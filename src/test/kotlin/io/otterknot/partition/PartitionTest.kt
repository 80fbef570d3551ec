package io.otterknot.partition

import io.otterknot.records.JobRecord
import io.otterknot.records.TerminalState
import io.otterknot.testing.applyRecord
import io.otterknot.wire.CommandOperation
import io.otterknot.wire.ExitCause
import io.otterknot.wire.Priority
import io.otterknot.wire.TaskState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Cancellation, preemption, and reassignment of jobs in a partition. */
class PartitionTest : PartitionFixture() {
    @Test
    fun `running tasks of a cancelled job are halted and its pending tasks are not started`() {
        val partition = partition()
        partition.register("m1")
        val job = job(1, 6)
        partition.updateJob(job, inherited = false)
        val starts = partition.heartbeat("m1", TOKEN, 10).starts()
        assertEquals(4, starts.size)
        job.applyRecord(JobRecord(terminalState = TerminalState.CANCELLED), 2)
        partition.updateJob(job, inherited = false)
        val operations = partition.heartbeat("m1", TOKEN, 20, starts.running()).operations()
        assertEquals(List(4) { CommandOperation.HALT }, operations)
        assertTrue(partition.heartbeat("m1", TOKEN, 30).commands().isEmpty())
    }

    @Test
    fun `a high priority task preempts best effort tasks, newest first, and its freed cores stay reserved`() {
        val partition = partition()
        partition.register("m1")
        partition.updateJob(job(1, 20, cores = 1.0, priority = Priority.BEST_EFFORT, team = "blue"), inherited = false)
        val bestEffort = partition.heartbeat("m1", TOKEN, 10).starts()
        assertEquals(8, bestEffort.size)
        partition.heartbeat("m1", TOKEN, 20, bestEffort.running())
        partition.updateJob(job(2, 1, cores = 3.0), inherited = false)
        val early = partition.heartbeat("m1", TOKEN, 30, bestEffort.running()).commands()
        assertTrue(early.isEmpty(), "best effort tasks get time to finish before preemption")
        val halted = partition.heartbeat("m1", TOKEN, 3_030, bestEffort.running()).commands()
        assertEquals(List(3) { CommandOperation.HALT }, halted.map { it.op })
        val haltedIds = halted.map { it.attempt }.toSet()
        // Only two of the three have stopped: their cores stay reserved for the high priority task.
        val firstTwo = haltedIds.take(2).toSet()
        val afterTwo = bestEffort.filter { it.attempt !in firstTwo }
        val partly = partition.heartbeat("m1", TOKEN, 3_040, afterTwo.running()).commands()
        assertTrue(partly.none { it.op == CommandOperation.START }, "$partly")
        val afterAll = bestEffort.filter { it.attempt !in haltedIds }
        val started = partition.heartbeat("m1", TOKEN, 3_050, afterAll.running()).starts()
        assertEquals(listOf("j-000002/0"), started.map { it.task })
    }

    @Test
    fun `tasks reserved for another partition are not started here`() {
        val partition = partition()
        val job = job(1, 6)
        partition.updateJob(job, inherited = false)
        val partitionJob = partition.job(job.id)!!
        val reserved = partition.reserveForReassignment(partitionJob, 8.0)
        assertEquals(4, reserved.cardinality())
        partition.register("m1")
        val started = partition.heartbeat("m1", TOKEN, 10).starts()
        assertEquals(listOf("j-000001/0", "j-000001/1"), started.map { it.task })
        // A delayed heartbeat shows one of the tasks on a machine whose lease has expired since it was sent.
        partition.heartbeat("m3", TOKEN, 20, runningTask("j-000001/5"))
        partition.heartbeat("m3", TOKEN, 30, epoch = 2, sequence = 1)
        assertFalse(5 in partitionJob.pending)
        assertFalse(partitionJob.active.containsKey(5))
        partition.completeReassignment(partitionJob, reserved)
        assertEquals(4, partitionJob.pendingCount)
    }

    @Test
    fun `one task of a job that has waited long for its first start is placed before higher priority work`() {
        val partition = partition()
        partition.register("m1")
        partition.updateJob(job(1, 500, cores = 1.0), inherited = false)
        val neverStarted = job(2, 500, cores = 1.0, priority = Priority.BEST_EFFORT, team = "blue")
        neverStarted.applyRecord(neverStarted.record!!.copy(submittedMs = 1))
        partition.updateJob(neverStarted, inherited = false)
        var running = partition.heartbeat("m1", TOKEN, 10).starts().running()
        val started = ArrayList<String>()
        for (now in 1_000L..100_000L step 1_000) {
            partition.sweep(now)
            partition.heartbeat("m1", TOKEN, now, running)
            val exited = running.map { it.copy(state = TaskState.EXITED, cause = ExitCause.STOPPED) }
            val starts = partition.heartbeat("m1", TOKEN, now, exited).starts()
            running = starts.running()
            started += starts.map { it.task }
        }
        assertEquals(1, started.count { it.startsWith("j-000002") })
    }
}
