package io.otterknot.partition

import io.otterknot.scheduling.ImageCounts
import io.otterknot.scheduling.Machine
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.MachineType

/** The machines of a partition that report to its leader, and which machines are registered in the store. */
class MachineBook(registeredMachines: Set<String>, private val imageCounts: ImageCounts) {
    private val byId = NameIndex<Machine> { it.id }
    private val registered = HashSet(registeredMachines)
    private val releasedAndRegistered = HashSet<String>()

    /** How far machines that were forgotten had reported: a copy of an older heartbeat must not bring one back. */
    private val forgotten = HeartbeatHistory { byId.all.size }

    val all: List<Machine> get() = byId.all

    /** Registered machines that the cloud has released; their ids are never used again, so their keys may go too. */
    val released: Set<String> get() = releasedAndRegistered

    operator fun get(id: String): Machine? = byId[id]

    /**
     * Whether [heartbeat] is newer than all that were applied of its machine, [known] here or forgotten: packets and
     * copies of them may be delivered late, and only a newer heartbeat says anything.
     */
    fun isNewer(heartbeat: Heartbeat, known: Machine?): Boolean = if (known != null) {
        heartbeat.isNewerThan(known.epoch, known.lastSequence)
    } else {
        forgotten.isNewer(heartbeat)
    }

    /** Adds the machine that sent its first [heartbeat]. */
    fun add(heartbeat: Heartbeat, type: MachineType, now: Long): Machine {
        val machine = Machine(heartbeat.machine, type, heartbeat.spot, now, imageCounts)
        byId.add(machine)
        machine.updateRegistration(machine.id in registered)
        return machine
    }

    /** Removes a machine that holds no attempt any more; should it report again, it is added anew. */
    fun remove(machine: Machine) {
        forgotten.record(machine.id, machine.epoch, machine.lastSequence)
        machine.images.keys.forEach(imageCounts::removed)
        byId.remove(machine.id)
    }

    /** The cloud is about to take its id out of use for ever. */
    fun markReleased(id: String) {
        if (id in registered) releasedAndRegistered.add(id)
    }

    /** Whatever heartbeat still shows the machine is a late one. */
    fun ignoreForever(id: String) = forgotten.recordGone(id)

    /** Takes over which machines are registered now; whether one that reports here has become so. */
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

    /** Machines that report here and must be registered before they may get a task. */
    fun unregistered(): List<Machine> = all.filter { it.reconciled && !it.registered && !it.leaseExpired }
}
