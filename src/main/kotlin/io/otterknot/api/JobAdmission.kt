package io.otterknot.api

import io.otterknot.config.TeamSettings
import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType

/**
 * Rejects jobs that could never run: those of an unknown team, above the limits of the team, or with tasks that fit no
 * machine type.
 *
 * [machineTypes] returns the machine types that the cloud offers, or null until they have been read from it.
 */
class JobAdmission(private val teams: List<TeamSettings>, private val machineTypes: () -> List<MachineType>?) {
    /** The machine types that the cloud offers, or null if they have not been read yet. */
    internal val offeredTypes: List<MachineType>? get() = machineTypes()

    /** Returns why the tasks of [spec] could never run on machines of the [offered] types, or null if they could. */
    internal fun findRejectionReason(spec: JobSpec, offered: List<MachineType>): String? {
        val team = teams.firstOrNull { it.name == spec.team } ?: return "unknown team ${spec.team}"
        if (exceedsLimit(spec, team)) return "one task needs more than the limit of team ${spec.team}"
        val fitsAllowedType = offered.any { isAllowed(spec, it) && fits(spec, it) }
        return if (fitsAllowedType) null else "a task fits no allowed machine type"
    }

    private fun exceedsLimit(spec: JobSpec, team: TeamSettings): Boolean =
        exceeds(spec.cores, team.cpusMax) || exceeds(spec.gpus, team.gpusMax)

    /** Whether [amount] is above [limit]; a [limit] of 0 means unlimited. */
    private fun exceeds(amount: Double, limit: Double) = limit > 0 && amount > limit

    private fun isAllowed(spec: JobSpec, type: MachineType): Boolean =
        (spec.types == null || type.name in spec.types) && (spec.zone == null || spec.zone in type.zones)

    private fun fits(spec: JobSpec, type: MachineType): Boolean =
        spec.cores <= type.cores && spec.memoryGb <= type.memoryGb && spec.gpus <= type.gpus
}
