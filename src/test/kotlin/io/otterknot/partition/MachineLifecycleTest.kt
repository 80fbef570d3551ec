package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.wire.TaskState
import io.otterknot.wire.TaskStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MachineLifecycleTest : PartitionFixture() {
    @Test
    fun `tasks of an unresponsive machine start elsewhere only after its lease has expired`() {
        val partition = partition()
        partition.register("m1", "m2")
        partition.updateJob(job(1, 1, cores = 8.0), inherited = false)
        val isOnFirst = partition.heartbeat("m1", TOKEN, 10).starts().isNotEmpty()
        if (!isOnFirst) partition.heartbeat("m2", TOKEN, 10)
        val other = if (isOnFirst) "m2" else "m1"
        for (now in listOf(5_000L, 10_000L)) {
            partition.sweep(now)
            assertTrue(partition.heartbeat(other, TOKEN, now).starts().isEmpty(), "at $now")
        }
        partition.sweep(10_800)
        assertEquals(1, partition.heartbeat(other, TOKEN, 10_900).starts().size)
    }

    @Test
    fun `tasks of a silent machine wait while a later leader may have renewed its lease`() {
        val partition = partition()
        val other = partition.startOneTask()
        confirmation.confirmedMs = 10_700
        partition.sweep(20_000)
        assertTrue(partition.heartbeat(other, TOKEN, 20_000).starts().isEmpty())
        assertEquals(1, confirmation.requests)
        confirmation.confirmedMs = 20_000
        partition.sweep(20_500)
        assertEquals(1, partition.heartbeat(other, TOKEN, 20_600).starts().size)
    }

    @Test
    fun `tasks of a released machine wait while a later leader may have inherited them`() {
        val partition = partition()
        val other = partition.startOneTask()
        val machine = partition.machines.single { it.id != other }.id
        confirmation.confirmedMs = 4_900
        partition.fleet.machineReleased(machine, 5_000)
        partition.sweep(5_500)
        assertTrue(partition.heartbeat(other, TOKEN, 5_500).starts().isEmpty())
        assertEquals(HeartbeatDecision.Stale, partition.heartbeat(machine, TOKEN, 5_500))
        confirmation.confirmedMs = 5_600
        partition.sweep(6_000)
        assertEquals(1, partition.heartbeat(other, TOKEN, 6_100).starts().size)
        assertNull(partition.machine(machine))
    }

    @Test
    fun `a silent machine that reports again keeps tasks whose release was not confirmed`() {
        val partition = partition()
        val other = partition.startOneTask()
        val attempt = partition.machines.single { it.id != other }.attempts.values.single()
        confirmation.confirmedMs = 0
        partition.sweep(20_000)
        partition.heartbeat(attempt.machine.id, TOKEN, 20_100, runningAttempt(attempt))
        confirmation.confirmedMs = 20_200
        partition.sweep(20_500)
        assertTrue(partition.heartbeat(other, TOKEN, 20_600).starts().isEmpty())
        assertTrue(attempt.occupiesMachine)
    }

    /** Starts one task that fills a machine at 10 ms. Returns the id of a second machine, which is idle. */
    private fun Partition.startOneTask(): String {
        register("m1", "m2")
        updateJob(job(1, 1, cores = 8.0), inherited = false)
        val isOnFirst = heartbeat("m1", TOKEN, 10).starts().isNotEmpty()
        if (!isOnFirst) heartbeat("m2", TOKEN, 10)
        return if (isOnFirst) "m2" else "m1"
    }

    private fun runningAttempt(attempt: Attempt) = TaskStatus(attempt.name, attempt.id, TaskState.RUNNING)

    @Test
    fun `a delayed copy of a heartbeat does not add a forgotten or released machine again`() {
        val partition = partition()
        partition.register("m1", "m2")
        partition.updateJob(job(1, 1), inherited = false)
        val (machine, start) = listOf("m1", "m2").firstNotNullOf { id ->
            partition.heartbeat(id, TOKEN, 10).starts().firstOrNull()?.let { id to it }
        }
        partition.heartbeat(machine, TOKEN, 20, start.status())
        val lastSeen = lastSequence(machine)
        for (remove in listOf<(String, Long) -> Unit>(partition.fleet::forget, partition.fleet::machineReleased)) {
            remove(machine, 30)
            val late = partition.heartbeat(machine, TOKEN, 30, listOf(start.status()), sequence = lastSeen)
            assertEquals(HeartbeatDecision.Stale, late)
            assertNull(partition.machine(machine))
        }
        assertEquals(
            HeartbeatDecision.Stale,
            partition.heartbeat(machine, TOKEN, 30, sequence = lastSeen + 50),
            "no heartbeat of a released machine is accepted",
        )
    }
}
