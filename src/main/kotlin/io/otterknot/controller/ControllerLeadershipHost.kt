package io.otterknot.controller

import io.otterknot.autoscaling.MachineTypeCatalog
import io.otterknot.leadership.LeadershipHost

/** What leadership sees of the controller that it runs in. Owns no state. */
internal class ControllerLeadershipHost(
    private val catalog: MachineTypeCatalog,
    private val machines: RegisteredMachines,
) : LeadershipHost {
    override val canServePartitions: Boolean get() = catalog.types != null

    override fun registeredMachines(zone: String): Set<String> = machines.typesByMachine(zone).keys
}
