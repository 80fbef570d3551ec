package io.otterknot.autoscaling

import io.otterknot.partition.Partition
import io.otterknot.wire.ListedMachine
import io.otterknot.wire.ListedMachineState
import io.otterknot.wire.MachineType

/**
 * Compares the cloud's list, which lags behind, with the machines that report, to find listed machines that have failed
 * or are unresponsive.
 */
class CloudInventory(
    private val ledPartitions: LedPartitions,
    private val leaseMs: Long,
    private val typeOf: (name: String) -> MachineType?,
) {
    private val unresponsiveSinceMs = HashMap<String, Long>()

    /**
     * Returns the zones in which most running machines do not report. Such a zone is treated as isolated: its machines
     * report again once it is reachable, and new machines could not be reached either.
     */
    fun isolatedZones(listed: List<ListedMachine>): Set<String> = listed
        .filter { it.state == ListedMachineState.RUNNING && it.ageS > MIN_AGE_S && ledPartitions[it.zone] != null }
        .groupBy { it.zone }
        .filterValues { machines -> machines.size >= MIN_MACHINES && machines.count(::isReporting) * 2 < machines.size }
        .keys

    /** Whether the leases of most machines of [partition], which have all reported before, have expired. */
    fun isIsolated(partition: Partition): Boolean {
        val machines = partition.machines
        return machines.size >= MIN_MACHINES && machines.count { it.leaseExpired } * 2 > machines.size
    }

    /** Discards the time for which [machine] has not reported so far. */
    fun resetUnresponsiveTime(machine: ListedMachine) {
        unresponsiveSinceMs.remove(machine.id)
    }

    /** Whether [machine] has failed, has not reported for too long, or has not booted in time. */
    fun isFailedOrUnresponsive(machine: ListedMachine, partition: Partition, now: Long): Boolean {
        if (machine.state == ListedMachineState.FAILED) return true
        if (isReporting(machine, partition)) {
            resetUnresponsiveTime(machine)
            return false
        }
        val sinceMs = unresponsiveSinceMs.getOrPut(machine.id) { now }
        if (machine.state != ListedMachineState.BOOTING) return now - sinceMs > leaseMs + UNRESPONSIVE_GRACE_MS
        val bootS = typeOf(machine.type)?.bootS ?: UNKNOWN_TYPE_BOOT_S
        return machine.ageS > maxOf(bootS * SLOW_BOOT_FACTOR, MIN_SLOW_BOOT_S)
    }

    private fun isReporting(machine: ListedMachine): Boolean {
        val partition = ledPartitions[machine.zone] ?: return false
        return isReporting(machine, partition)
    }

    private fun isReporting(machine: ListedMachine, partition: Partition): Boolean =
        partition.machine(machine.id)?.leaseExpired == false

    private companion object {
        /** A running machine that has not reported for its lease plus this long is released. */
        const val UNRESPONSIVE_GRACE_MS = 4_000L

        /** With fewer machines, a few failed ones are not sufficient evidence that the zone is isolated. */
        const val MIN_MACHINES = 4

        /** A younger machine may not have had time to report. */
        const val MIN_AGE_S = 30.0

        /** A boot longer than both this multiple of the type's boot time and [MIN_SLOW_BOOT_S] counts as failed. */
        const val SLOW_BOOT_FACTOR = 5.0
        const val MIN_SLOW_BOOT_S = 60.0
        const val UNKNOWN_TYPE_BOOT_S = 60.0
    }
}
