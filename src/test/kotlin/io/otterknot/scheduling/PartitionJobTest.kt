package io.otterknot.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

class PartitionJobTest {
    @Test
    fun `tasks that a machine or another partition may have are refused as pending`() {
        val job = waitingJob(jobSpec(tasks = 6), 0)
        job.owned.set(0, 5)
        job.unreconciledTasks.set(1)
        job.beingReassigned.set(2)
        val refused = job.makePending(tasks(0, 1, 2, 5), StartReason.LEASE_EXPIRED)
        assertEquals(tasks(1, 2, 5), refused)
        assertEquals(1, job.pending.count)
        assertEquals(StartReason.LEASE_EXPIRED, job.pending.reasonOf(0))
    }

    @Test
    fun `the last reason for which a task became pending is kept`() {
        val job = waitingJob(jobSpec(tasks = 3), 0)
        job.owned.set(0, 3)
        job.makePending(tasks(0, 1, 2), StartReason.NEVER_STARTED)
        job.pending.remove(1)
        assertTrue(job.makePending(1, StartReason.NEW_EPOCH))
        assertFalse(job.makePending(3, StartReason.NEW_EPOCH))
        assertEquals(StartReason.NEW_EPOCH, job.pending.reasonOf(1))
        assertEquals(StartReason.NEVER_STARTED, job.pending.reasonOf(2))
        assertEquals(tasks(1, 2), job.pending.last(2))
    }

    private fun tasks(vararg numbers: Int) = BitSet().apply { numbers.forEach(::set) }
}
