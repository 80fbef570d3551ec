package io.otterknot.reassignment

import io.otterknot.leadership.PartitionLeadership
import io.otterknot.scheduling.PartitionView
import io.otterknot.wire.JobSpec

/** Constraints that other components of the controller place on reassignments. */
interface ReassignmentConstraints {
    /** Whether the cloud offers machines in [zone] that tasks of [spec] can run on. */
    fun offers(zone: String, spec: JobSpec): Boolean

    /** Whether another component decides which tasks are reassigned from the partition of [zone]. */
    fun isDecidedElsewhere(zone: String): Boolean
}

/** The partitions that tasks may be reassigned to. */
class ReassignmentTargets(
    private val views: Map<String, PartitionView>,
    private val leadership: PartitionLeadership,
    private val constraints: ReassignmentConstraints,
) {
    /** See [ReassignmentConstraints.isDecidedElsewhere]. */
    fun isDecidedElsewhere(zone: String): Boolean = constraints.isDecidedElsewhere(zone)

    /**
     * Returns the partition with the lowest mean load for [spec], or null if no partition is eligible. A partition
     * other than that of [zone] is eligible if it has a leader and its zone offers machines that tasks of [spec] can
     * run on.
     */
    fun bestFor(spec: JobSpec, zone: String): PartitionView? =
        views.values.filter { it.zone != zone && isEligible(it, spec) }.minByOrNull { it.meanFor(spec) }

    private fun isEligible(target: PartitionView, spec: JobSpec): Boolean =
        constraints.offers(target.zone, spec) && leadership.leaderOf(target.zone) != null
}
