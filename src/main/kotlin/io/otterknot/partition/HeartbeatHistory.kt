package io.otterknot.partition

import io.otterknot.wire.Heartbeat

/**
 * The epoch and sequence number of the last heartbeat of each recently removed machine, by which delayed copies of
 * heartbeats are recognized. The capacity grows with the partition, which has [machineCount] machines now: the more
 * machines it has, the more of them are released and replaced within the time by which a copy may be delayed.
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

    /** Records that the machine has been released permanently: no heartbeat of it is newer. */
    fun recordReleased(id: String) = record(id, Long.MAX_VALUE, Long.MAX_VALUE)

    /** Whether [heartbeat] is newer than the last recorded one of its machine; true if none is recorded. */
    fun isNewer(heartbeat: Heartbeat): Boolean =
        machines[heartbeat.machine]?.let { heartbeat.isNewerThan(it.epoch, it.sequence) } ?: true

    private companion object {
        const val MIN_CAPACITY = 4_096
        const val CAPACITY_PER_MACHINE = 8
    }
}
