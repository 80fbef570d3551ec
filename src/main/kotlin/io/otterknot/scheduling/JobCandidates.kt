package io.otterknot.scheduling

import io.otterknot.wire.JobSpec
import kotlin.random.Random

/**
 * The machines on which the tasks of one job may be placed now, as groups in order of preference: a task is placed in
 * the first group that has capacity for it. Machines that have the job's image precede others, since a task occupies
 * its cores while its image is fetched. [prefersSpot] is set if some job of the partition may not run on spot
 * instances; then spot instances precede ordinary machines for a job that may use both.
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

    /** Chooses a machine for a task of [spec] and adds the task to its load. Returns null if the task fits nowhere. */
    fun choose(random: Random, spec: JobSpec): Machine? =
        groups.firstNotNullOfOrNull { group -> group.choose(random) { it.resources.share(spec) } }
}
