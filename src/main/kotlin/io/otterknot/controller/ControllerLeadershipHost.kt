package io.otterknot.controller

import io.otterknot.autoscaling.MachineTypeCatalog
import io.otterknot.leadership.LeadershipHost

/** Gives leadership access to the machine types and registered machines of its controller. Owns no state. */
internal class ControllerLeadershipHost(
    private val catalog: MachineTypeCatalog,
    private val machines: RegisteredMachines,
) : LeadershipHost {
    override val canServePartitions: Boolean get() = catalog.types != null

    override fun registeredMachines(zone: String): Set<String> = machines.typesByMachine(zone).keys
}
