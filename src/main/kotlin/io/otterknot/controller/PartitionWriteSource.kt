package io.otterknot.controller

import io.otterknot.partition.Partition
import io.otterknot.store.PendingWrite

/** Produces the writes of one kind of record that the leader of a partition keeps up to date. */
fun interface PartitionWriteSource {
    /** Returns the values that the records of [partition] should have now; unchanged records are not written again. */
    fun writes(partition: Partition): List<PendingWrite>
}
