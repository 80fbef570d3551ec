package io.otterknot.controller

import io.otterknot.partition.Partition
import io.otterknot.records.StoreKeys
import io.otterknot.store.PendingWrite
import io.otterknot.store.StoreReplica

/** Removes the marker of a forced takeover once the prior leader can no longer act. Owns no state. */
class TakeoverMarkerRemoval(private val replica: StoreReplica, private val nowMs: () -> Long) : PartitionWriteSource {
    override fun writes(partition: Partition): List<PendingWrite> {
        val key = StoreKeys.takeoverMarker(partition.zone)
        val mayPriorLeaderAct = nowMs() <= partition.priorLeaderUntilMs
        if (replica[key] == null || mayPriorLeaderAct) return emptyList()
        return listOf(PendingWrite(key, null))
    }
}
