package io.otterknot.reassignment

import io.otterknot.leadership.PartitionLeadership
import io.otterknot.scheduling.PartitionView
import io.otterknot.wire.JobSpec

/** What the rest of the controller says of reassignments. */
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
    fun isDecidedElsewhere(zone: String): Boolean = constraints.isDecidedElsewhere(zone)

    /**
     * Of the partitions other than that of [zone] in which tasks of [spec] can run and which somebody leads, the one
     * with the lowest mean load for them; null if there is none.
     */
    fun bestFor(spec: JobSpec, zone: String): PartitionView? =
        views.values.filter { it.zone != zone && isEligible(it, spec) }.minByOrNull { it.meanFor(spec) }

    private fun isEligible(target: PartitionView, spec: JobSpec): Boolean =
        constraints.offers(target.zone, spec) && leadership.leaderOf(target.zone) != null
}
