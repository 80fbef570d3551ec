package io.otterknot.partition

import io.otterknot.records.QuotaAmount
import io.otterknot.wire.MachineType

/**
 * Machines of which all counts as used by every team, since it is not known what is on them. [machineTypes] finds a
 * type by its name; null: the catalog does not name it, or has not been read yet.
 */
class UnknownUsage(registeredMachines: Map<String, String>, machineTypes: (name: String) -> MachineType?) {
    /** Machines that an earlier leader had registered and that have not shown this leader's fencing token yet. */
    val unreconciled = MachineSet(registeredMachines, machineTypes)

    /**
     * Machines that show a task which is not booked here: of a job that has ended, or of another partition. It is
     * halted, and until it is gone nobody knows what it takes of the machine and of its team's quota.
     */
    val withUnknownTasks = MachineSet(emptyMap(), machineTypes)

    /** The capacity of all these machines; null: not known, so no team can be said to have anything left. */
    fun total(): QuotaAmount? {
        val unreconciledCapacity = unreconciled.capacity() ?: return null
        return unreconciledCapacity + (withUnknownTasks.capacity() ?: return null)
    }

    /** The machine is gone, and everything on it. */
    fun forget(machineId: String) {
        unreconciled.remove(machineId)
        withUnknownTasks.remove(machineId)
    }
}
