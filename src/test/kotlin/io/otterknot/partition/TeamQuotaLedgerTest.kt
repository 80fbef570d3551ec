package io.otterknot.partition

import io.otterknot.wire.CommandOperation
import io.otterknot.wire.ExitCause
import io.otterknot.wire.TaskState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TeamQuotaLedgerTest : PartitionFixture() {
    @Test
    fun `a team does not exceed its quota share while a machine is unreconciled`() {
        val partition = partition(listOf("unknown"), quotaCores = 10.0)
        partition.heartbeat("m1", TOKEN, 1)
        partition.fleet.updateRegistered(setOf("m1", "unknown"))
        partition.updateJob(job(1, 4), inherited = false)
        val starts = partition.heartbeat("m1", TOKEN, 10).starts()
        assertEquals(1, starts.size, "eight of ten cores may be in use on the unreconciled machine")
        partition.fleet.machineReleased("unknown", 15)
        partition.sweep(20)
        assertEquals(4, partition.heartbeat("m1", TOKEN, 30).starts().size)
        partition.updateJob(job(2, 4), inherited = false)
        partition.register("m2")
        assertTrue(partition.heartbeat("m2", TOKEN, 40).starts().size <= 1)
    }

    /**
     * The response with the halt command may be lost, so the task may still be running. If it did not count against the
     * quota, the team's other tasks would start in addition to it.
     */
    @Test
    fun `a machine that reports a task of an ended job counts against every team until the task has exited`() {
        val partition = partition(listOf("m1", "m2"), quotaCores = 10.0)
        partition.updateJob(job(1, 4), inherited = true)
        val unknown = runningTask("j-000009/0")
        partition.heartbeat("m2", TOKEN, 10)
        for (now in listOf(20L, 30L)) {
            val operations = partition.heartbeat("m1", TOKEN, now, unknown).operations()
            assertEquals(listOf(CommandOperation.HALT), operations)
            assertTrue(partition.reconciled)
            assertTrue(partition.heartbeat("m2", TOKEN, now + 1).starts().size <= 1, "the team may be using all of m1")
        }
        partition.heartbeat("m1", TOKEN, 40, unknown.copy(state = TaskState.EXITED, cause = ExitCause.STOPPED))
        partition.sweep(45)
        assertEquals(4, partition.machines.sumOf { it.attempts.size })
    }
}
