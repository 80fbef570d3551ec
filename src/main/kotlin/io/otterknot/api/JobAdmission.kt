package io.otterknot.api

import io.otterknot.config.TeamSettings
import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType

/**
 * Decides whether a job could ever run.
 *
 * [machineTypes] returns null until the cloud has been asked for them.
 */
class JobAdmission(private val teams: List<TeamSettings>, private val machineTypes: () -> List<MachineType>?) {
    /** The machine types that the cloud offers; null: not known yet. */
    internal val offeredTypes: List<MachineType>? get() = machineTypes()

    /** Why no task of [spec] could ever run on machines of the [offered] types; null: they can. */
    internal fun findObstacle(spec: JobSpec, offered: List<MachineType>): String? {
        val team = teams.firstOrNull { it.name == spec.team } ?: return "unknown team ${spec.team}"
        if (exceedsLimit(spec, team)) return "one task needs more than the limit of team ${spec.team}"
        return if (offered.any {
                isAllowed(spec, it) && fits(spec, it)
            }
        ) {
            null
        } else {
            "a task fits no allowed machine type"
        }
    }

    private fun exceedsLimit(spec: JobSpec, team: TeamSettings): Boolean =
        exceeds(spec.cores, team.cpusMax) || exceeds(spec.gpus, team.gpusMax)

    /** A [limit] of 0 stands for none. */
    private fun exceeds(amount: Double, limit: Double) = limit > 0 && amount > limit

    private fun isAllowed(spec: JobSpec, type: MachineType): Boolean =
        (spec.types == null || type.name in spec.types) && (spec.zone == null || spec.zone in type.zones)

    private fun fits(spec: JobSpec, type: MachineType): Boolean =
        spec.cores <= type.cores && spec.memoryGb <= type.memoryGb && spec.gpus <= type.gpus
}
