package io.otterknot.autoscaling

import io.otterknot.partition.Partition
import io.otterknot.wire.ListedMachine
import io.otterknot.wire.ListedMachineState
import io.otterknot.wire.MachineType

/** Compares the cloud's lagging list with what reports, to find machines that will never be of use. */
class CloudInventory(
    private val partitions: Map<String, Partition>,
    private val leaseMs: Long,
    private val typeOf: (name: String) -> MachineType?,
) {
    private val firstSilentMs = HashMap<String, Long>()

    /**
     * Zones of which most machines are silent. Such a zone is cut off: its machines come back with it, and new ones
     * would not.
     */
    fun silentZones(listed: List<ListedMachine>): Set<String> = listed
        .filter { it.state == ListedMachineState.RUNNING && it.ageS > YOUNG_S && it.zone in partitions }
        .groupBy { it.zone }
        .filterValues { machines -> machines.size >= FEW && machines.count(::isHeard) * 2 < machines.size }
        .keys

    /** Whether most machines that have reported in [partition] are silent now. */
    fun isCutOff(partition: Partition): Boolean =
        partition.machines.size >= FEW && partition.machines.count { it.leaseExpired } * 2 > partition.machines.size

    /** Nothing is held against [machine]. */
    fun excuse(machine: ListedMachine) {
        firstSilentMs.remove(machine.id)
    }

    /** It has failed, has been silent for too long, or will not come up. */
    fun isUseless(machine: ListedMachine, partition: Partition, now: Long): Boolean {
        if (machine.state == ListedMachineState.FAILED) return true
        val known = partition.machine(machine.id)
        if (known != null && !known.leaseExpired) {
            excuse(machine)
            return false
        }
        val since = firstSilentMs.getOrPut(machine.id) { now }
        if (machine.state != ListedMachineState.BOOTING) return now - since > leaseMs + SILENT_MS
        val bootS = typeOf(machine.type)?.bootS ?: UNKNOWN_BOOT_S
        return machine.ageS > maxOf(bootS * SLOW_BOOT, MIN_BOOT_S)
    }

    private fun isHeard(machine: ListedMachine) = partitions[machine.zone]?.machine(machine.id)?.leaseExpired == false

    private companion object {
        const val SILENT_MS = 4_000L
        const val FEW = 4
        const val YOUNG_S = 30.0
        const val SLOW_BOOT = 5.0
        const val MIN_BOOT_S = 60.0
        const val UNKNOWN_BOOT_S = 60.0
    }
}
