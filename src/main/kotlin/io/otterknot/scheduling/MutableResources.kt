package io.otterknot.scheduling

import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType

/**
 * Cores, memory, GPUs and [HeartbeatSpace] of one machine. They are modified in place because the scheduler adds and
 * subtracts for each task it considers.
 */
class MutableResources(
    cores: Double = 0.0,
    memoryGb: Double = 0.0,
    gpus: Double = 0.0,
    statusBytes: Double = 0.0,
    smallTaskBytes: Double = 0.0,
) {
    var cores = cores
        private set
    var memoryGb = memoryGb
        private set
    var gpus = gpus
        private set

    /** Bytes of the statuses in a heartbeat. */
    var statusBytes = statusBytes
        private set

    /** The part of [statusBytes] that small tasks may use. */
    var smallTaskBytes = smallTaskBytes
        private set

    /** Whether a task of [spec] fits. */
    fun covers(spec: JobSpec): Boolean = spec.cores <= cores + Machine.EPSILON &&
        spec.memoryGb <= memoryGb + Machine.EPSILON &&
        spec.gpus <= gpus + Machine.EPSILON &&
        HeartbeatSpace.statusBytes(spec) <= statusBytes &&
        hasSmallTaskSpace(spec)

    private fun hasSmallTaskSpace(spec: JobSpec): Boolean {
        val needed = HeartbeatSpace.smallTaskBytes(spec)
        return needed == 0.0 || needed <= smallTaskBytes
    }

    fun add(spec: JobSpec) {
        cores += spec.cores
        memoryGb += spec.memoryGb
        gpus += spec.gpus
        statusBytes += HeartbeatSpace.statusBytes(spec)
        smallTaskBytes += HeartbeatSpace.smallTaskBytes(spec)
    }

    fun add(other: MutableResources) {
        cores += other.cores
        memoryGb += other.memoryGb
        gpus += other.gpus
        statusBytes += other.statusBytes
        smallTaskBytes += other.smallTaskBytes
    }

    fun subtract(spec: JobSpec) {
        cores -= spec.cores
        memoryGb -= spec.memoryGb
        gpus -= spec.gpus
        statusBytes -= HeartbeatSpace.statusBytes(spec)
        smallTaskBytes -= HeartbeatSpace.smallTaskBytes(spec)
    }

    fun subtract(other: MutableResources) {
        cores -= other.cores
        memoryGb -= other.memoryGb
        gpus -= other.gpus
        statusBytes -= other.statusBytes
        smallTaskBytes -= other.smallTaskBytes
    }

    /** Subtracts the resources of a task of [spec]; no amount falls below zero. */
    fun subtractDownToZero(spec: JobSpec) {
        cores = maxOf(0.0, cores - spec.cores)
        memoryGb = maxOf(0.0, memoryGb - spec.memoryGb)
        gpus = maxOf(0.0, gpus - spec.gpus)
        statusBytes = maxOf(0.0, statusBytes - HeartbeatSpace.statusBytes(spec))
        smallTaskBytes = maxOf(0.0, smallTaskBytes - HeartbeatSpace.smallTaskBytes(spec))
    }

    /** Returns an independent copy. */
    fun copy() = MutableResources(cores, memoryGb, gpus, statusBytes, smallTaskBytes)

    fun clear() {
        cores = 0.0
        memoryGb = 0.0
        gpus = 0.0
        statusBytes = 0.0
        smallTaskBytes = 0.0
    }

    companion object {
        /** Returns the resources of an empty machine of [type]. */
        fun of(type: MachineType) = MutableResources(
            type.cores,
            type.memoryGb,
            type.gpus,
            HeartbeatSpace.CAPACITY,
            HeartbeatSpace.smallTaskCapacity(type),
        )
    }
}
