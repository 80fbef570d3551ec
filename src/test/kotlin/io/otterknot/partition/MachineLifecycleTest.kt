package io.otterknot.partition

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
    fun `a delayed copy of a heartbeat does not add a forgotten or released machine again`() {
        val partition = partition()
        partition.register("m1", "m2")
        partition.updateJob(job(1, 1), inherited = false)
        val (machine, start) = listOf("m1", "m2").firstNotNullOf { id ->
            partition.heartbeat(id, TOKEN, 10).starts().firstOrNull()?.let { id to it }
        }
        partition.heartbeat(machine, TOKEN, 20, start.status())
        val lastSeen = lastSequence(machine)
        for (remove in listOf<(String) -> Unit>(partition.fleet::forget, partition.fleet::machineReleased)) {
            remove(machine)
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
