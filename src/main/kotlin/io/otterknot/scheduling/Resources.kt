package io.otterknot.scheduling

import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType

/** An amount of cores, memory and GPUs: requested by a task, provided by a machine, or used by a team. */
data class Resources(val cores: Double = 0.0, val memoryGb: Double = 0.0, val gpus: Double = 0.0) {
    operator fun plus(other: Resources) = Resources(cores + other.cores, memoryGb + other.memoryGb, gpus + other.gpus)

    operator fun minus(other: Resources) = Resources(cores - other.cores, memoryGb - other.memoryGb, gpus - other.gpus)

    operator fun times(factor: Double) = Resources(cores * factor, memoryGb * factor, gpus * factor)

    /** Returns the largest fraction of the three resources of [total] that this takes; a total of zero is ignored. */
    fun dominantShare(total: Resources): Double =
        maxOf(share(cores, total.cores), share(memoryGb, total.memoryGb), share(gpus, total.gpus))

    private fun share(part: Double, total: Double) = if (total > 0) part / total else 0.0

    companion object {
        val NONE = Resources()

        /** Returns the cores, memory and GPUs that one task of [spec] requests. */
        fun of(spec: JobSpec) = Resources(spec.cores, spec.memoryGb, spec.gpus)

        /** Returns the resources of a machine of [type]. */
        fun of(type: MachineType) = Resources(type.cores, type.memoryGb, type.gpus)
    }
}
