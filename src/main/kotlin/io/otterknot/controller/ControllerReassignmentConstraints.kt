package io.otterknot.controller

import io.otterknot.autoscaling.MachineTypeCatalog
import io.otterknot.reassignment.ReassignmentConstraints
import io.otterknot.rebalance.LoadSpread
import io.otterknot.wire.JobSpec

/** What limits the reassignment of tasks: machine types, and load spread where it decides. Owns no state. */
internal class ControllerReassignmentConstraints(
    private val catalog: MachineTypeCatalog,
    private val loadSpread: LoadSpread,
) : ReassignmentConstraints {
    override fun offers(zone: String, spec: JobSpec): Boolean = catalog.offers(zone, spec)

    override fun isDecidedElsewhere(zone: String): Boolean = loadSpread.decidesReassignments(zone)
}
