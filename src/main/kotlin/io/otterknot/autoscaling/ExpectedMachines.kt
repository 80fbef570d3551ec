package io.otterknot.autoscaling

import io.otterknot.partition.Partition

/** A machine that the cloud has granted and that has not reported yet. */
class ExpectedMachine(val zone: String, val kind: MachineKind, val cores: Double, val sinceMs: Long)

/** Machines that are expected to report soon. They count as supply; otherwise they would be requested again. */
class ExpectedMachines {
    private val byId = HashMap<String, ExpectedMachine>()

    val all: Collection<ExpectedMachine> get() = byId.values

    operator fun contains(id: String): Boolean = id in byId

    fun add(id: String, machine: ExpectedMachine) {
        byId[id] = machine
    }

    fun remove(id: String) {
        byId.remove(id)
    }

    /** Removes the machines that report in [partition]. */
    fun removeReporting(partition: Partition) = partition.machines.forEach { byId.remove(it.id) }

    /** Removes machines that have been expected for more than [timeoutMs] and are not in the cloud's list. */
    fun removeUnlisted(listedIds: Set<String>, now: Long, timeoutMs: Long) {
        byId.entries.removeIf { (id, machine) -> id !in listedIds && now - machine.sinceMs > timeoutMs }
    }
}
