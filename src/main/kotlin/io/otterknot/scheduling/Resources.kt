package io.otterknot.scheduling

import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType

/** Cores, memory and GPUs: what tasks take, machines have, or teams use. */
data class Resources(val cores: Double = 0.0, val memoryGb: Double = 0.0, val gpus: Double = 0.0) {
    operator fun plus(other: Resources) = Resources(cores + other.cores, memoryGb + other.memoryGb, gpus + other.gpus)

    operator fun minus(other: Resources) = Resources(cores - other.cores, memoryGb - other.memoryGb, gpus - other.gpus)

    operator fun times(factor: Double) = Resources(cores * factor, memoryGb * factor, gpus * factor)

    fun covers(other: Resources): Boolean = other.cores <= cores + Machine.EPSILON &&
        other.memoryGb <= memoryGb + Machine.EPSILON && other.gpus <= gpus + Machine.EPSILON

    /** The share of [total] of whichever of the three this takes most of; what there is none of does not count. */
    fun dominantShare(total: Resources): Double =
        maxOf(share(cores, total.cores), share(memoryGb, total.memoryGb), share(gpus, total.gpus))

    private fun share(part: Double, whole: Double) = if (whole > 0) part / whole else 0.0

    companion object {
        val NONE = Resources()

        /** What one task takes. */
        fun of(spec: JobSpec) = Resources(spec.cores, spec.memoryGb, spec.gpus)

        /** What a machine has. */
        fun of(type: MachineType) = Resources(type.cores, type.memoryGb, type.gpus)
    }
}
