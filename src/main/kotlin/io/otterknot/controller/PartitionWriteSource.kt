package io.otterknot.controller

import io.otterknot.partition.Partition
import io.otterknot.store.PendingWrite

/** One kind of record that the leader of a partition keeps up to date. */
fun interface PartitionWriteSource {
    /** What the records of [partition] shall hold now; records that already hold it are not written again. */
    fun writes(partition: Partition): List<PendingWrite>
}
