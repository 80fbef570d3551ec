package io.otterknot.partition

import io.otterknot.wire.Heartbeat

/**
 * The last heartbeat of each machine that was forgotten lately; late copies of heartbeats show less. How many are kept
 * grows with the partition, now of [machineCount] machines: the more it has, the more are released and replaced in the
 * time that a copy may be late.
 */
class HeartbeatHistory(private val machineCount: () -> Int) {
    private class LastHeartbeat(val epoch: Long, val sequence: Long)

    private val machines = object : LinkedHashMap<String, LastHeartbeat>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, LastHeartbeat>) =
            size > maxOf(MIN_CAPACITY, machineCount() * CAPACITY_PER_MACHINE)
    }

    val size: Int get() = machines.size

    fun record(id: String, epoch: Long, sequence: Long) {
        machines[id] = LastHeartbeat(epoch, sequence)
    }

    /** The machine is gone for good: no heartbeat of it is new. */
    fun recordGone(id: String) = record(id, Long.MAX_VALUE, Long.MAX_VALUE)

    /** Whether [heartbeat] is newer than the last one recorded of its machine, if any. */
    fun isNewer(heartbeat: Heartbeat): Boolean =
        machines[heartbeat.machine]?.let { heartbeat.isNewerThan(it.epoch, it.sequence) } ?: true

    private companion object {
        const val MIN_CAPACITY = 4_096
        const val CAPACITY_PER_MACHINE = 8
    }
}
