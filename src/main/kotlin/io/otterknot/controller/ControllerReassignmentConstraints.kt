package io.otterknot.controller

import io.otterknot.autoscaling.MachineTypeCatalog
import io.otterknot.reassignment.ReassignmentConstraints
import io.otterknot.rebalance.LoadSpread
import io.otterknot.wire.JobSpec

/**
 * Restricts the reassignment of tasks: the target zone must offer a suitable machine type, and load spread may decide
 * the reassignments of a zone instead. Owns no state.
 */
internal class ControllerReassignmentConstraints(
    private val catalog: MachineTypeCatalog,
    private val loadSpread: LoadSpread,
) : ReassignmentConstraints {
    override fun offers(zone: String, spec: JobSpec): Boolean = catalog.offers(zone, spec)

    override fun isDecidedElsewhere(zone: String): Boolean = loadSpread.decidesReassignments(zone)
}
