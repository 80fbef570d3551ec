package io.otterknot.scheduling

import io.otterknot.wire.JobSpec

/**
 * Cores, memory and GPUs. They are modified in place because the scheduler adds and subtracts for each task it
 * considers.
 */
class MutableResources(cores: Double = 0.0, memoryGb: Double = 0.0, gpus: Double = 0.0) {
    var cores = cores
        private set
    var memoryGb = memoryGb
        private set
    var gpus = gpus
        private set

    /** Whether a task of [spec] fits. */
    fun covers(spec: JobSpec): Boolean = spec.cores <= cores + Machine.EPSILON &&
        spec.memoryGb <= memoryGb + Machine.EPSILON &&
        spec.gpus <= gpus + Machine.EPSILON

    fun add(spec: JobSpec) {
        cores += spec.cores
        memoryGb += spec.memoryGb
        gpus += spec.gpus
    }

    fun subtract(spec: JobSpec) {
        cores -= spec.cores
        memoryGb -= spec.memoryGb
        gpus -= spec.gpus
    }

    fun subtract(other: MutableResources) {
        cores -= other.cores
        memoryGb -= other.memoryGb
        gpus -= other.gpus
    }

    /** Subtracts the resources of a task of [spec]; no amount falls below zero. */
    fun subtractDownToZero(spec: JobSpec) {
        cores = maxOf(0.0, cores - spec.cores)
        memoryGb = maxOf(0.0, memoryGb - spec.memoryGb)
        gpus = maxOf(0.0, gpus - spec.gpus)
    }

    fun clear() {
        cores = 0.0
        memoryGb = 0.0
        gpus = 0.0
    }
}
