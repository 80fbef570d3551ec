package io.otterknot.partition

import io.otterknot.wire.CommandOperation
import io.otterknot.wire.ExitCause
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class HeartbeatProcessorTest : PartitionFixture() {
    @Test
    fun `a heartbeat with a higher token means that the leader is superseded, an older heartbeat is stale`() {
        val partition = partition()
        assertEquals(HeartbeatDecision.Superseded, partition.heartbeat("m1", 8, 1))
        partition.heartbeat("m1", TOKEN, 2, epoch = 2, sequence = 5)
        for ((epoch, sequence) in listOf(1L to 9L, 2L to 4L, 2L to 5L)) {
            val decision = partition.heartbeat("m1", TOKEN, 3, epoch = epoch, sequence = sequence)
            assertEquals(HeartbeatDecision.Stale, decision)
        }
    }

    @Test
    fun `a start that the next heartbeat does not show is retried with another attempt id`() {
        val partition = partition()
        partition.register("m1")
        partition.updateJob(job(1, 1), inherited = false)
        val first = partition.heartbeat("m1", TOKEN, 10).starts().single()
        val second = partition.heartbeat("m1", TOKEN, 20).starts().single()
        assertNotEquals(first.attempt, second.attempt)
        assertTrue(partition.heartbeat("m1", TOKEN, 30, second.status()).commands().isEmpty())
        // With a new epoch, the worker has discarded all attempts of the previous one.
        val restarted = partition.heartbeat("m1", TOKEN, 40, epoch = 2, sequence = 1).starts().single()
        assertEquals("j-000001/0", restarted.task)
    }

    @Test
    fun `a forget command for a completed task is sent only once the completion is durable`() {
        val partition = partition()
        partition.register("m1")
        val job = job(1, 1)
        partition.updateJob(job, inherited = false)
        val start = partition.heartbeat("m1", TOKEN, 10).starts().single()
        assertTrue(partition.heartbeat("m1", TOKEN, 20, start.exited(ExitCause.DONE)).commands().isEmpty())
        assertTrue(partition.job(job.id)!!.unrecordedCompletions.get(0))
        job.completedTasks.set(0)
        partition.applyCompletions(job)
        val operations = partition.heartbeat("m1", TOKEN, 30, start.exited(ExitCause.DONE)).operations()
        assertEquals(listOf(CommandOperation.FORGET), operations)
    }

    /**
     * If the tasks were restarted only after the loss of the machine, they would be delayed by the whole notice time.
     */
    @Test
    fun `a task that cannot end before the revocation of its spot instance is restarted elsewhere immediately`() {
        // The estimate is 5 s, and the task has run for 2 s when the revocation notice arrives.
        for ((noticeS, operations) in listOf(4.0 to emptyList(), 2.0 to listOf(CommandOperation.HALT))) {
            val partition = partition()
            partition.register("m1")
            partition.updateJob(job(1, 1), inherited = false)
            val start = partition.heartbeat("m1", TOKEN, 10).starts().single()
            partition.heartbeat("m1", TOKEN, 1_000, start.status())
            partition.register("m2")
            val decision = partition.heartbeat("m1", TOKEN, 3_000, listOf(start.status()), noticeS = noticeS)
            assertEquals(operations, decision.operations())
            val status = if (operations.isEmpty()) start.status() else start.exited(ExitCause.STOPPED)
            partition.heartbeat("m1", TOKEN, 3_600, listOf(status), noticeS = noticeS - 0.6)
            assertEquals(operations.size, partition.heartbeat("m2", TOKEN, 3_700).starts().size)
        }
    }

    @Test
    fun `a task booked on a spot instance that is being revoked is not started there`() {
        val partition = partition()
        partition.register("m1")
        partition.updateJob(job(1, 1), inherited = false)
        partition.sweep(10)
        assertTrue(partition.heartbeat("m1", TOKEN, 20, noticeS = 30.0).commands().isEmpty())
        partition.register("m2")
        assertEquals(1, partition.heartbeat("m2", TOKEN, 40).starts().size)
    }
}
