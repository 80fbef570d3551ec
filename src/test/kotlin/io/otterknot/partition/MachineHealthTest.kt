package io.otterknot.partition

import io.otterknot.records.JobRecord
import io.otterknot.records.TerminalState
import io.otterknot.testing.applyRecord
import io.otterknot.wire.TaskStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class MachineHealthTest : PartitionFixture() {
    /**
     * Guards against tasks of a cancelled job that keep running on an unresponsive machine past the time limit of a
     * cancellation: once the cloud confirms the release of the machine, they no longer run.
     */
    @Test
    fun `an unresponsive machine with tasks of a cancelled job is released even if other machines are unresponsive`() {
        val partition = partition()
        partition.register("m1", "m2")
        val job = job(1, 8)
        partition.updateJob(job, inherited = false)
        for (id in listOf("m1", "m2")) {
            val starts = partition.heartbeat(id, TOKEN, 10).starts()
            partition.heartbeat(id, TOKEN, 20, starts.running())
        }
        job.applyRecord(JobRecord(terminalState = TerminalState.CANCELLED), 2)
        partition.updateJob(job, inherited = false)
        partition.sweep(9_000)
        assertEquals(emptyList<String>(), partition.fleet.unresponsive(9_000, 20_000))
        partition.sweep(10_900)
        assertEquals(listOf("m1", "m2"), partition.fleet.unresponsive(10_900, 20_000).sorted())
        partition.heartbeat("m1", TOKEN, 11_000, epoch = 2, sequence = 1)
        assertEquals(listOf("m2"), partition.fleet.unresponsive(11_000, 20_000), "m1 reports again, without tasks")
        partition.fleet.machineReleased("m2", 11_000)
        assertEquals(emptyList<String>(), partition.fleet.unresponsive(11_000, 20_000))
    }

    /**
     * In a large partition some machine is dead at any time. After a failover it would delay thousands of unreconciled
     * tasks.
     */
    @ParameterizedTest
    @CsvSource("1,4900,0", "1,5100,1", "5,5100,0", "5,7600,5", "40,7600,0")
    fun `machines that have not reported since a failover are released, sooner if they are few`(
        missing: Int,
        now: Long,
        released: Int,
    ) {
        val ids = (1..100).map { "m$it" }
        val partition = partition(ids)
        partition.updateJob(job(1, 1), inherited = true)
        ids.drop(missing).forEach { partition.heartbeat(it, TOKEN, now - 500) }
        assertEquals(ids.take(released), partition.fleet.unresponsive(now, 7_500).sorted())
        assertFalse(partition.reconciled)
    }

    @Test
    fun `a machine that loses responses is assigned at most one task at a time and is to be released`() {
        val partition = partition()
        partition.register("lossy", "m1", "m2", "m3")
        partition.updateJob(job(1, 60, cores = 1.0), inherited = false)
        var probes = 0
        for (now in 10L..12_000L step 800) {
            val starts = partition.heartbeat("lossy", TOKEN, now).starts()
            if (starts.isNotEmpty()) probes++
            if (probes > 2) assertTrue(starts.size <= 1)
            listOf("m1", "m2", "m3").forEach { partition.heartbeat(it, TOKEN, now) }
            if (now > 3_000) assertTrue(partition.machine("lossy")!!.losesResponses)
        }
        assertTrue(probes <= 7, "$probes")
        assertTrue("lossy" in partition.fleet.losingResponses())
        partition.sweep(12_100, isLeaderSlow = true)
        val blamed = partition.fleet.losingResponses()
        assertEquals(emptyList<String>(), blamed, "a slow leader attributes lost responses to no machine")
    }

    @Test
    fun `only the machine that loses responses is to be released`() {
        val partition = partition()
        partition.register("lossy", "m1", "m2", "m3")
        partition.updateJob(job(2, 60, cores = 1.0), inherited = false)
        val running = HashMap<String, List<TaskStatus>>()
        for (now in 10L..30_000L step 800) {
            partition.heartbeat("lossy", TOKEN, now)
            for (id in listOf("m1", "m2", "m3")) {
                val starts = partition.heartbeat(id, TOKEN, now, running[id].orEmpty()).starts()
                running.merge(id, starts.running(), List<TaskStatus>::plus)
            }
            partition.sweep(now)
        }
        assertEquals(listOf("lossy"), partition.fleet.losingResponses())
    }
}
