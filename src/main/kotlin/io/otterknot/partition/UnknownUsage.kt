package io.otterknot.partition

import io.otterknot.records.QuotaAmount
import io.otterknot.wire.MachineType

/**
 * Machines whose whole capacity counts as used by every team, since it is unknown which tasks they run. [machineTypes]
 * finds a type by its name, or returns null if the catalog does not name it or has not been read yet.
 */
class UnknownUsage(registeredMachines: Map<String, String>, machineTypes: (name: String) -> MachineType?) {
    /**
     * Machines that an earlier leader registered and whose heartbeats have not shown this leader's fencing token yet.
     */
    val unreconciled = MachineSet(registeredMachines, machineTypes)

    /**
     * Machines that report a task which is not booked here, because its job has ended or it belongs to another
     * partition. It is halted; until it has exited, its resources on the machine and in its team's quota are unknown.
     */
    val withUnknownTasks = MachineSet(emptyMap(), machineTypes)

    /**
     * The capacity of all these machines, or null if it is unknown, so that no team may count on any remaining quota.
     */
    fun total(): QuotaAmount? {
        val unreconciledCapacity = unreconciled.capacity() ?: return null
        return unreconciledCapacity + (withUnknownTasks.capacity() ?: return null)
    }

    /** Removes a machine that no longer exists or is no longer tracked. */
    fun forget(machineId: String) {
        unreconciled.remove(machineId)
        withUnknownTasks.remove(machineId)
    }
}
