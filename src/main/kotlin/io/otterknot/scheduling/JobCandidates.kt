package io.otterknot.scheduling

import io.otterknot.wire.JobSpec
import kotlin.random.Random

/**
 * The machines that the tasks of one job may go to now, in groups; the first group with room is taken. Machines that
 * have the job's image come before others, since a fetch holds the task's cores for as long as it takes. If some work
 * may run on ordinary machines only ([prefersSpot]), spot instances come before those.
 */
class JobCandidates(machines: List<Machine>, spec: JobSpec, prefersSpot: Boolean, fits: (Machine) -> Boolean) {
    private val groups = ArrayList<PlacementCandidates<Machine>>()

    init {
        val kinds = if (spec.spot && prefersSpot) machines.partition { it.spot }.toList() else listOf(machines)
        for (kind in kinds) {
            groups.add(PlacementCandidates(kind.filter { spec.image in it.images }, fits))
            groups.add(PlacementCandidates(kind, fits))
        }
    }

    /** Chooses a machine for a task of [spec] and adds the task to its load; null: it fits nowhere. */
    fun choose(random: Random, spec: JobSpec): Machine? =
        groups.firstNotNullOfOrNull { group -> group.choose(random) { it.share(spec) } }
}
