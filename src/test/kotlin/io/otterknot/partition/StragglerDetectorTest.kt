package io.otterknot.partition

import io.otterknot.wire.CommandOperation
import io.otterknot.wire.ExitCause
import io.otterknot.wire.HeartbeatCommand
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StragglerDetectorTest : PartitionFixture() {
    /** A simulated machine on which each task runs for [taskMs]. */
    private inner class SimulatedMachine(val id: String, private val taskMs: Long) {
        private val startedMs = LinkedHashMap<HeartbeatCommand, Long>()
        var halts = 0
            private set

        fun heartbeat(partition: Partition, now: Long) {
            val (over, running) = startedMs.entries.partition { now - it.value >= taskMs }
            val tasks = running.map { it.key.status() } + over.map { it.key.exited(ExitCause.DONE) }
            val commands = partition.heartbeat(id, TOKEN, now, tasks).commands()
            over.forEach { startedMs.remove(it.key) }
            commands.forEach { apply(it, now) }
        }

        private fun apply(command: HeartbeatCommand, now: Long) {
            if (command.op == CommandOperation.START) startedMs[command] = now
            if (command.op == CommandOperation.HALT) {
                halts++
                startedMs.keys.removeIf { it.task == command.task }
            }
        }
    }

    @Test
    fun `a machine that is slow for several tasks is quarantined, a single straggler is restarted once`() {
        val partition = partition()
        val machines = listOf("m1" to 10_000L, "m2" to 10_000L, "slow" to 40_000L).map { (id, taskMs) ->
            SimulatedMachine(id, taskMs)
        }
        partition.register("m1", "m2", "slow")
        partition.updateJob(job(1, 200, cores = 2.0), inherited = false)
        for (now in 1_000L..120_000L step 1_000) {
            partition.sweep(now)
            machines.forEach { it.heartbeat(partition, now) }
        }
        assertTrue(partition.machine("slow")!!.quarantined)
        assertTrue(partition.machines.none { it.id != "slow" && it.quarantined })
        val halts = machines.sumOf { it.halts }
        assertTrue(halts in 1..8, "$halts")
    }
}
