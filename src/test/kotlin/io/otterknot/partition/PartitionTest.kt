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

/** Jobs in a partition: cancellation, preemption, reassignment. */
class PartitionTest : PartitionFixture() {
    @Test
    fun `a cancelled job is halted where it runs and started nowhere`() {
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
    fun `urgent work stops lesser work, the newest first, and lesser work does not take the room`() {
        val partition = partition()
        partition.register("m1")
        partition.updateJob(job(1, 20, cores = 1.0, priority = Priority.BEST_EFFORT, team = "blue"), inherited = false)
        val lesser = partition.heartbeat("m1", TOKEN, 10).starts()
        assertEquals(8, lesser.size)
        partition.heartbeat("m1", TOKEN, 20, lesser.running())
        partition.updateJob(job(2, 1, cores = 3.0), inherited = false)
        val early = partition.heartbeat("m1", TOKEN, 30, lesser.running()).commands()
        assertTrue(early.isEmpty(), "lesser work may finish by itself first")
        val halted = partition.heartbeat("m1", TOKEN, 3_030, lesser.running()).commands()
        assertEquals(List(3) { CommandOperation.HALT }, halted.map { it.op })
        val haltedIds = halted.map { it.attempt }.toSet()
        // Only two of the three have stopped: their cores stay free for the urgent task.
        val firstTwo = haltedIds.take(2).toSet()
        val afterTwo = lesser.filter { it.attempt !in firstTwo }
        val partly = partition.heartbeat("m1", TOKEN, 3_040, afterTwo.running()).commands()
        assertTrue(partly.none { it.op == CommandOperation.START }, "$partly")
        val afterAll = lesser.filter { it.attempt !in haltedIds }
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
        // A heartbeat from before, delivered only now, shows one of them on a machine whose lease has expired since.
        partition.heartbeat("m3", TOKEN, 20, runningTask("j-000001/5"))
        partition.heartbeat("m3", TOKEN, 30, epoch = 2, sequence = 1)
        assertFalse(partitionJob.pending.get(5))
        assertFalse(partitionJob.active.containsKey(5))
        partition.completeReassignment(partitionJob, reserved)
        assertEquals(4, partitionJob.pendingCount)
    }

    @Test
    fun `a job that has not begun for long gets one task before more urgent work`() {
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
