package io.otterknot.autoscaling

import io.otterknot.partition.Partition
import io.otterknot.wire.ListedMachine
import io.otterknot.wire.ListedMachineState
import io.otterknot.wire.MachineType

/**
 * Compares the cloud's list, which lags behind, with the machines that report, to find those that will never be of use.
 */
class CloudInventory(
    private val led: LedPartitions,
    private val leaseMs: Long,
    private val typeOf: (name: String) -> MachineType?,
) {
    private val silentSinceMs = HashMap<String, Long>()

    /**
     * Zones of which most running machines are silent. Such a zone is cut off: its machines come back with it, and new
     * ones could not be reached either.
     */
    fun silentZones(listed: List<ListedMachine>): Set<String> = listed
        .filter { it.state == ListedMachineState.RUNNING && it.ageS > MIN_AGE_S && led[it.zone] != null }
        .groupBy { it.zone }
        .filterValues { machines -> machines.size >= MIN_MACHINES && machines.count(::isReporting) * 2 < machines.size }
        .keys

    /** Whether most machines that have reported in [partition] are silent now. */
    fun isCutOff(partition: Partition): Boolean {
        val machines = partition.machines
        return machines.size >= MIN_MACHINES && machines.count { it.leaseExpired } * 2 > machines.size
    }

    /** Its silence up to now does not count. */
    fun resetSilence(machine: ListedMachine) {
        silentSinceMs.remove(machine.id)
    }

    /** Whether it has failed, has been silent for too long, or has not booted in time. */
    fun isFailedOrSilent(machine: ListedMachine, partition: Partition, now: Long): Boolean {
        if (machine.state == ListedMachineState.FAILED) return true
        if (isReporting(machine, partition)) {
            resetSilence(machine)
            return false
        }
        val sinceMs = silentSinceMs.getOrPut(machine.id) { now }
        if (machine.state != ListedMachineState.BOOTING) return now - sinceMs > leaseMs + SILENCE_BEYOND_LEASE_MS
        val bootS = typeOf(machine.type)?.bootS ?: UNKNOWN_TYPE_BOOT_S
        return machine.ageS > maxOf(bootS * SLOW_BOOT_FACTOR, MIN_SLOW_BOOT_S)
    }

    private fun isReporting(machine: ListedMachine): Boolean {
        val partition = led[machine.zone] ?: return false
        return isReporting(machine, partition)
    }

    private fun isReporting(machine: ListedMachine, partition: Partition): Boolean =
        partition.machine(machine.id)?.leaseExpired == false

    private companion object {
        /** A running machine that has been silent for this long beyond its lease is released. */
        const val SILENCE_BEYOND_LEASE_MS = 4_000L

        /** With fewer machines, a few that are dead do not tell that the zone is cut off. */
        const val MIN_MACHINES = 4

        /** A younger machine may not have had the time to report. */
        const val MIN_AGE_S = 30.0

        /** A boot that takes so many times what is usual for the type, and [MIN_SLOW_BOOT_S], will not end. */
        const val SLOW_BOOT_FACTOR = 5.0
        const val MIN_SLOW_BOOT_S = 60.0
        const val UNKNOWN_TYPE_BOOT_S = 60.0
    }
}
