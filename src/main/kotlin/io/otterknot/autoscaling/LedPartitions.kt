package io.otterknot.autoscaling

import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition

/** The partitions that this controller leads, and whether it may act for them now. */
class LedPartitions(private val leadership: PartitionLeadership, private val byZone: Map<String, Partition>) {
    val all: Collection<Partition> get() = byZone.values
    val zones: Set<String> get() = byZone.keys

    operator fun get(zone: String): Partition? = byZone[zone]

    /** Whether this controller still leads under the fencing token of [partition] and may give commands now. */
    fun mayActFor(partition: Partition): Boolean = leadership.mayActFor(partition)

    /** Whether this controller holds the leadership of [zone], even if it may not give commands now. */
    fun hasAcquired(zone: String): Boolean = leadership.acquiredToken(zone) != null
}
