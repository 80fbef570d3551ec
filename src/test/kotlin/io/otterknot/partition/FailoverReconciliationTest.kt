package io.otterknot.partition

import io.otterknot.wire.Heartbeat
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

class FailoverReconciliationTest : PartitionFixture() {
    @Test
    fun `a machine that has not shown the token is sent the token but no commands and stays unreconciled`() {
        val partition = partition(listOf("m1", "m2"))
        partition.updateJob(job(1, 4), inherited = true)
        assertEquals(
            HeartbeatDecision.Answer(TOKEN, emptyList()),
            partition.heartbeat("m1", PRIOR_TOKEN, 100, runningTask("j-000001/0")),
        )
        assertTrue(partition.heartbeat("m1", TOKEN, 200, runningTask("j-000001/0")).commands().isEmpty())
        assertFalse(partition.reconciled, "m2 may hold the other tasks")
        assertTrue(partition.heartbeat("m2", PRIOR_TOKEN, 300).commands().isEmpty())
        assertFalse(partition.reconciled, "m2 has not shown the token")
        val started = partition.heartbeat("m2", TOKEN, 400).starts() +
            partition.heartbeat("m1", TOKEN, 500, runningTask("j-000001/0")).starts()
        assertEquals(setOf("j-000001/1", "j-000001/2", "j-000001/3"), started.map { it.task }.toSet())
    }

    @Test
    fun `unreconciled tasks start once the lease of an unresponsive machine has expired or the machine is released`() {
        for (released in listOf(true, false)) {
            val partition = partition(listOf("m1", "gone"))
            partition.updateJob(job(1, 1), inherited = true)
            partition.heartbeat("m1", TOKEN, 100)
            partition.sweep(10_000)
            assertFalse(partition.reconciled)
            if (released) partition.fleet.machineReleased("gone", 10_000)
            partition.sweep(if (released) 10_000 else 10_800)
            assertEquals(1, partition.heartbeat("m1", TOKEN, 10_900).starts().size)
        }
    }

    @Test
    fun `unreconciled tasks wait while a later leader may have renewed the lease of an unresponsive machine`() {
        for (released in listOf(true, false)) {
            val partition = partition(listOf("m1", "gone"))
            partition.updateJob(job(1, 1), inherited = true)
            partition.heartbeat("m1", TOKEN, 100)
            confirmation.confirmedMs = 9_000
            if (released) partition.fleet.machineReleased("gone", 10_000)
            partition.sweep(20_000)
            assertTrue(partition.heartbeat("m1", TOKEN, 20_000).starts().isEmpty())
            confirmation.confirmedMs = 20_100
            partition.sweep(20_500)
            assertEquals(1, partition.heartbeat("m1", TOKEN, 20_600).starts().size)
        }
    }

    @Test
    fun `a late heartbeat with an earlier token proves nothing while a later leader may have renewed the lease`() {
        val partition = partition(listOf("m1", "late"))
        partition.updateJob(job(1, 1), inherited = true)
        partition.heartbeat("m1", TOKEN, 100)
        confirmation.confirmedMs = 14_000
        partition.heartbeat("late", PRIOR_TOKEN, 16_000, runningTask("j-000001/0"))
        assertTrue(partition.heartbeat("m1", TOKEN, 16_000).starts().isEmpty())
        confirmation.confirmedMs = 16_000
        partition.heartbeat("late", PRIOR_TOKEN, 16_500, runningTask("j-000001/0"))
        assertEquals(1, partition.heartbeat("m1", TOKEN, 16_600).starts().size)
    }

    @Test
    fun `an unresponsive machine that was sent the token keeps its tasks until the renewed lease expires`() {
        val partition = partition(listOf("m1", "m2"))
        partition.updateJob(job(1, 1), inherited = true)
        partition.heartbeat("m1", TOKEN, 100)
        partition.heartbeat("m2", PRIOR_TOKEN, 9_000, runningTask("j-000001/0"))
        for (now in listOf(10_900L, 15_000L, 19_000L)) {
            partition.sweep(now)
            assertTrue(partition.heartbeat("m1", TOKEN, now).starts().isEmpty(), "at $now")
        }
        partition.sweep(19_800)
        assertEquals(1, partition.heartbeat("m1", TOKEN, 19_900).starts().size)
    }

    /**
     * Guards against computing the capacity of all unreconciled machines for each pending job in each scheduling pass:
     * after a restart of all controllers, the cost of a heartbeat would be proportional to machines times jobs.
     */
    @ParameterizedTest
    @ValueSource(ints = [20, 400])
    fun `the cost of a heartbeat during a failover does not grow with the number of machines or jobs`(machines: Int) {
        val ids = (1..machines).map { "m$it" }
        val partition = partition(ids)
        for (number in 1..40) partition.updateJob(job(number, 3), inherited = false)
        ids.forEach { partition.heartbeat(it, PRIOR_TOKEN, 100) }
        typeLookups = 0
        ids.dropLast(1).forEach { partition.heartbeat(it, TOKEN, 200) }
        assertFalse(partition.reconciled)
        assertTrue(typeLookups < 5 * machines, "$typeLookups type lookups for $machines heartbeats")
    }

    @Test
    fun `leadership may be transferred only once no earlier leader can act`() {
        val partition = partition(priorLeaderUntilMs = 20_000)
        partition.sweep(10)
        assertTrue(partition.reconciled)
        assertFalse(partition.mayTransferLeadership(19_000))
        assertTrue(partition.mayTransferLeadership(21_000))
    }

    /**
     * Each heartbeat of the machine is responded to. If its lease were counted from the last of them, the
     * reconciliation would never complete.
     */
    @Test
    fun `a machine that never shows the token delays unreconciled tasks by at most two leases`() {
        val partition = partition(listOf("m1", "lossy"))
        partition.updateJob(job(1, 1), inherited = true)
        var startedAt = 0L
        for (now in 100L..40_000L step 800) {
            partition.heartbeat("lossy", PRIOR_TOKEN, now, runningTask("j-000001/0"))
            partition.sweep(now)
            if (partition.heartbeat("m1", TOKEN, now + 1).starts().isNotEmpty()) {
                startedAt = now
                break
            }
        }
        assertTrue(startedAt in 14_000..21_500, "$startedAt")
    }

    @Test
    fun `a machine of an unknown type keeps its tasks while responses renew its lease`() {
        val partition = partition(listOf("m1", "unknown"))
        partition.updateJob(job(1, 1), inherited = true)
        for (now in 100L..15_000L step 800) {
            val shown = listOf(runningTask("j-000001/0"))
            val heartbeat = Heartbeat("unknown", "", UNKNOWN_TYPE, "a", false, 1, now, TOKEN, null, shown)
            assertEquals(HeartbeatDecision.Answer(TOKEN, emptyList()), partition.applyHeartbeat(heartbeat, now))
            partition.sweep(now)
            assertTrue(partition.heartbeat("m1", TOKEN, now).starts().isEmpty(), "started at $now ms")
        }
    }

    /**
     * A leader that was taken over by force may not have noticed it, and may still renew leases. Tasks of machines that
     * never reported therefore wait until that leader can no longer act, and then for the expiry of the lease.
     */
    @Test
    fun `leases of unreported machines do not count as expired while an earlier leader may still act`() {
        for ((priorLeaderUntilMs, expectedMs) in listOf(0L to 10_800L, 22_000L to 32_800L)) {
            val partition = partition(listOf("m1", "gone"), priorLeaderUntilMs = priorLeaderUntilMs)
            partition.updateJob(job(1, 1), inherited = true)
            var startedAt = 0L
            for (now in 100L..40_000L step 100) {
                partition.sweep(now)
                if (startedAt == 0L && partition.heartbeat("m1", TOKEN, now).starts().isNotEmpty()) startedAt = now
            }
            assertEquals(expectedMs, startedAt)
        }
    }
}
