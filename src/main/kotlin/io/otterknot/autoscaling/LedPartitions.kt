package io.otterknot.autoscaling

import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition

/** The partitions that this controller leads, and whether it may act for them now. */
class LedPartitions(private val leadership: PartitionLeadership, private val byZone: Map<String, Partition>) {
    val all: Collection<Partition> get() = byZone.values
    val zones: Set<String> get() = byZone.keys

    operator fun get(zone: String): Partition? = byZone[zone]

    /** Whether this controller, within its fence, is the leader that [partition] was made for. */
    fun mayActFor(partition: Partition): Boolean = leadership.mayActFor(partition)

    /** Whether this controller has acquired [zone] and not lost it, also while it may not act. */
    fun hasAcquired(zone: String): Boolean = leadership.acquiredToken(zone) != null
}
