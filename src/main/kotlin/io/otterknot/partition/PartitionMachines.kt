package io.otterknot.partition

import io.otterknot.scheduling.ImageCounts
import io.otterknot.scheduling.Machine
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.MachineType

/** The machines of a partition that report to its leader, and which machines are registered in the store. */
class PartitionMachines(registeredMachines: Set<String>, private val imageCounts: ImageCounts) {
    private val byId = NameIndex<Machine> { it.id }
    private val registered = HashSet(registeredMachines)
    private val releasedAndRegistered = HashSet<String>()

    /**
     * The last heartbeats of removed machines: a delayed copy of an older heartbeat must not add such a machine again.
     */
    private val removed = HeartbeatHistory { byId.all.size }

    val all: List<Machine> get() = byId.all

    /** Registered machines that the cloud has released; their ids are never reused, so their keys may be deleted. */
    val released: Set<String> get() = releasedAndRegistered

    operator fun get(id: String): Machine? = byId[id]

    /**
     * Whether [heartbeat] is newer than every applied heartbeat of its machine. [known] is the machine, or null if it
     * has not reported yet or was removed. Packets and copies of them may be delivered late, so older heartbeats are
     * ignored.
     */
    fun isNewer(heartbeat: Heartbeat, known: Machine?): Boolean =
        removed.isNewer(heartbeat) && (known == null || heartbeat.isNewerThan(known.epoch, known.lastSequence))

    /** Adds the machine that sent its first [heartbeat]. */
    fun add(heartbeat: Heartbeat, type: MachineType, now: Long): Machine {
        val machine = Machine(heartbeat.machine, type, heartbeat.spot, now, imageCounts)
        byId.add(machine)
        machine.updateRegistration(machine.id in registered)
        return machine
    }

    /** Removes a machine that holds no attempts any more; if it reports again, it is added as a new machine. */
    fun remove(machine: Machine) {
        removed.record(machine.id, machine.epoch, machine.lastSequence)
        machine.images.keys.forEach(imageCounts::removed)
        byId.remove(machine.id)
    }

    /** Records that the cloud has released the machine, if it is registered; see [released]. */
    fun markReleased(id: String) {
        if (id in registered) releasedAndRegistered.add(id)
    }

    /** Makes every further heartbeat of the released machine count as late. */
    fun rejectFurtherHeartbeats(id: String) = removed.recordReleased(id)

    /** Sets which machines are registered. Returns whether a machine that reports here has become registered. */
    fun updateRegistered(ids: Set<String>): Boolean {
        registered.clear()
        registered.addAll(ids)
        releasedAndRegistered.retainAll(ids)
        var hasNew = false
        for (machine in all) {
            val isRegistered = machine.id in ids
            if (isRegistered && !machine.registered) hasNew = true
            machine.updateRegistration(isRegistered)
        }
        return hasNew
    }

    /** Machines that report here and must be registered before a task may be placed on them. */
    fun unregistered(): List<Machine> = all.filter { it.reconciled && !it.registered && !it.leaseExpired }
}
