package io.otterknot.partition

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MachineLifecycleTest : PartitionFixture() {
    @Test
    fun `a silent machine's tasks start elsewhere only after its lease`() {
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
    fun `a late copy of a heartbeat does not bring a forgotten or released machine back`() {
        val partition = partition()
        partition.register("m1", "m2")
        partition.updateJob(job(1, 1), inherited = false)
        val (machine, start) = listOf("m1", "m2").firstNotNullOf { id ->
            partition.heartbeat(id, TOKEN, 10).starts().firstOrNull()?.let { id to it }
        }
        partition.heartbeat(machine, TOKEN, 20, start.status())
        val seen = lastSequence(machine)
        for (remove in listOf<(String) -> Unit>(partition.fleet::forget, partition.fleet::machineReleased)) {
            remove(machine)
            val late = partition.heartbeat(machine, TOKEN, 30, listOf(start.status()), sequence = seen)
            assertEquals(HeartbeatDecision.Stale, late)
            assertNull(partition.machine(machine))
        }
        assertEquals(
            HeartbeatDecision.Stale,
            partition.heartbeat(machine, TOKEN, 30, sequence = seen + 50),
            "a machine that the cloud took back is gone for good",
        )
    }
}
