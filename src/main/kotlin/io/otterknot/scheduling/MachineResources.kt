package io.otterknot.scheduling

import io.otterknot.wire.HeartbeatSize
import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import io.otterknot.wire.Priority

/**
 * The resources of one machine of [type]: what is booked, what is being freed and what is reserved. [HeartbeatSpace] is
 * one of them: a heartbeat that reports more tasks than fit in it would be refused.
 */
class MachineResources(private val type: MachineType) {
    private val used = MutableResources()
    val usedCores: Double get() = used.cores

    /** The bytes of statuses by which the next heartbeat may exceed those of the booked attempts. */
    private var unbookedStatusBytes = 0.0

    /** The resources that will be freed by attempts being stopped on this machine. */
    val beingFreed = MutableResources()

    /** The resources reserved on this machine for pending tasks, by priority. */
    private val reservedFor = Array(Priority.entries.size) { MutableResources() }

    /** The bytes that the statuses of the next heartbeat may take. */
    val statusBytes: Double get() = used.statusBytes + unbookedStatusBytes

    /** The part of [statusBytes] that uses up the space of small tasks. */
    private val smallTaskBytes: Double get() = used.smallTaskBytes + unbookedStatusBytes

    /** The bytes by which the booked attempts that are not being stopped exceed [HeartbeatSpace.CAPACITY]. */
    val excessStatusBytes: Double get() = used.statusBytes - beingFreed.statusBytes - HeartbeatSpace.CAPACITY

    /** Books the resources of a task of [spec]. */
    fun book(spec: JobSpec) = used.add(spec)

    fun unbook(spec: JobSpec) = used.subtract(spec)

    /**
     * Sets how many bytes the statuses of attempts that are not booked took in the last heartbeat: exited ones that the
     * worker has not forgotten yet, and unknown ones.
     */
    fun updateUnbookedStatuses(bytes: Int) {
        unbookedStatusBytes = bytes.toDouble()
    }

    /** Records that the worker may still report an attempt of [spec] that has been unbooked. */
    fun addUnbookedStatus(spec: JobSpec) {
        unbookedStatusBytes += HeartbeatSpace.statusBytes(spec)
    }

    /** The resources reserved on this machine for pending tasks of [priority]. */
    fun reserved(priority: Priority): MutableResources = reservedFor[priority.ordinal]

    fun canFit(spec: JobSpec): Boolean = used.cores + spec.cores <= type.cores + Machine.EPSILON &&
        used.memoryGb + spec.memoryGb <= type.memoryGb + Machine.EPSILON &&
        used.gpus + spec.gpus <= type.gpus + Machine.EPSILON &&
        canReport(spec)

    /** Whether the machine's heartbeats have space for one more task of [spec]. */
    private fun canReport(spec: JobSpec): Boolean {
        if (statusBytes + HeartbeatSpace.statusBytes(spec) > HeartbeatSpace.CAPACITY) return false
        val smallBytes = HeartbeatSpace.smallTaskBytes(spec)
        return smallBytes == 0.0 || smallTaskBytes + smallBytes <= HeartbeatSpace.smallTaskCapacity(type)
    }

    /** Whether a task of [minCores] cores may fit; false only if no task with as many cores fits. */
    fun mayFit(minCores: Double): Boolean {
        val hasStatusSpace = statusBytes + HeartbeatSize.MIN_STATUS_BYTES <= HeartbeatSpace.CAPACITY
        return hasStatusSpace && used.cores + minCores <= type.cores + Machine.EPSILON
    }

    /**
     * Whether a task of [spec] fits now without taking capacity reserved for tasks of a higher priority. Resources that
     * are being freed count towards those reservations.
     */
    fun canFitUnreserved(spec: JobSpec): Boolean =
        canFit(spec) && capacityBeyondReservations(priorities = spec.priority.ordinal).covers(spec)

    /** Returns the resources that are free or being freed and not reserved for tasks of [priority] or a higher one. */
    fun unreservedCapacity(priority: Priority): MutableResources =
        capacityBeyondReservations(priorities = priority.ordinal + 1)

    /** Returns what is free or being freed, without the reservations for the highest [priorities] priorities. */
    private fun capacityBeyondReservations(priorities: Int): MutableResources {
        val capacity = free()
        capacity.add(beingFreed)
        for (level in 0 until priorities) capacity.subtract(reservedFor[level])
        return capacity
    }

    /** Returns what is not booked. Space in heartbeats that exited attempts still take counts as free, as it soon is. */
    fun free(): MutableResources = MutableResources.of(type).also { it.subtract(used) }

    /** Returns the booked fraction of the most heavily booked resource. */
    fun bookedShare(): Double = maxOf(
        maxOf(ratio(used.cores, type.cores), ratio(used.memoryGb, type.memoryGb), ratio(used.gpus, type.gpus)),
        bookedHeartbeatShare(),
    )

    private fun bookedHeartbeatShare(): Double = maxOf(
        used.statusBytes / HeartbeatSpace.CAPACITY,
        used.smallTaskBytes / HeartbeatSpace.smallTaskCapacity(type),
    )

    /** The booked cores, or those that correspond to the booked heartbeat space if that is the greater part. */
    val equivalentCores: Double get() = maxOf(used.cores, bookedHeartbeatShare() * type.cores)

    /** Returns the dominant share of a task of [spec]: the largest fraction that it takes of any resource. */
    fun share(spec: JobSpec): Double = maxOf(
        maxOf(ratio(spec.cores, type.cores), ratio(spec.memoryGb, type.memoryGb), ratio(spec.gpus, type.gpus)),
        HeartbeatSpace.share(spec, type.cores),
    )

    private fun ratio(part: Double, total: Double) = if (total > 0) part / total else 0.0
}
