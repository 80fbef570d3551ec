package io.otterknot.scheduling

import io.otterknot.wire.HeartbeatSize
import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import kotlin.math.ceil

/**
 * The space of a machine's heartbeats as a resource of the machine, in bytes: a task that the next heartbeats have to
 * report takes a part of it, like cores and memory.
 *
 * Tasks of less than one core are small tasks. Without a limit of their own they would fill the heartbeats of all
 * machines while cores are free, and the other tasks would wait for them. So they may only use what is left if every
 * core reserves [RESERVED_STATUSES_PER_CORE] statuses. A task of some part of a core is a small task for the rest of
 * the core.
 */
object HeartbeatSpace {
    const val CAPACITY: Double = HeartbeatSize.MAX_STATUSES_BYTES.toDouble()

    /** One for the task that uses the core, one for the task before it, until that one need not be reported any more. */
    private const val RESERVED_STATUSES_PER_CORE = 2

    /** The size of one reserved status. */
    private const val RESERVED_STATUS_BYTES = 128

    /** The least part of [CAPACITY] that small tasks may use, on a machine with so many cores that little is left. */
    private const val MIN_SMALL_TASK_SHARE = 0.5

    /** Returns the bytes that a task of [spec] takes in the heartbeats of its machine. */
    fun statusBytes(spec: JobSpec): Double = HeartbeatSize.ofStatus(spec).toDouble()

    /** Returns the part of [statusBytes] that counts against [smallTaskCapacity]; 0 for a task of a core or more. */
    fun smallTaskBytes(spec: JobSpec): Double = statusBytes(spec) * (1 - minOf(1.0, spec.cores))

    /** Returns the bytes that small tasks may take on a machine with [cores] cores. */
    fun smallTaskCapacity(cores: Double): Double {
        val reserved = ceil(cores) * RESERVED_STATUSES_PER_CORE * RESERVED_STATUS_BYTES
        return maxOf(CAPACITY - reserved, CAPACITY * MIN_SMALL_TASK_SHARE)
    }

    /** As [smallTaskCapacity] of the cores of [type]. */
    fun smallTaskCapacity(type: MachineType): Double = smallTaskCapacity(type.cores)

    /** Returns the part of the heartbeat space of a machine with [cores] cores that a task of [spec] takes. */
    fun share(spec: JobSpec, cores: Double): Double =
        maxOf(statusBytes(spec) / CAPACITY, smallTaskBytes(spec) / smallTaskCapacity(cores))

    /**
     * Returns the cores that a task of [spec] takes of a machine with [machineCores] cores when its heartbeat space is
     * counted like cores: a task of 0 cores occupies a part of a machine, too.
     */
    fun equivalentCores(spec: JobSpec, machineCores: Double): Double =
        maxOf(spec.cores, share(spec, machineCores) * machineCores)
}
