package io.otterknot.controller

import io.otterknot.partition.Partition
import io.otterknot.records.MachineSegmentRecord
import io.otterknot.records.RecordSegments
import io.otterknot.records.StoreKeys
import io.otterknot.records.encodeRecord
import io.otterknot.store.PendingWrite
import io.otterknot.store.StoreReplica
import io.otterknot.store.WriteLimits
import kotlinx.serialization.json.JsonElement

/** Registers machines before their first task, and removes those that the cloud has taken back. Owns no state. */
class MachineSegmentWrites(private val replica: StoreReplica, private val limits: WriteLimits) : PartitionWriteSource {
    override fun writes(partition: Partition): List<PendingWrite> {
        val added = partition.fleet.unregistered().associate { it.id to it.type.name }
        if (added.isEmpty() && partition.fleet.released.isEmpty()) return emptyList()
        val stored = replica.machineSegments(partition.zone)
        val segmentSize = limits.maxRecordBytes / BYTES_PER_MACHINE
        val changed = RecordSegments.redistribute(stored, partition.fleet.released, added, segmentSize)
        val earlierKeys = LinkedHashSet<String>()
        return changed.map { (segment, types) ->
            val key = StoreKeys.machineSegment(partition.zone, segment)
            // A machine must be in some segment at any time: what loses one is written after what takes it.
            val moved = stored[segment].orEmpty().keys - types.keys - partition.fleet.released
            val after = if (moved.isEmpty()) emptySet() else earlierKeys.toSet()
            earlierKeys.add(key)
            PendingWrite(key, valueOf(types), after)
        }
    }

    /** Null, for a key that is removed, once no machine is left in the segment. */
    private fun valueOf(types: Map<String, String>): JsonElement? {
        if (types.isEmpty()) return null
        return encodeRecord(MachineSegmentRecord.serializer(), MachineSegmentRecord(types))
    }

    private companion object {
        /** What one machine takes in a segment: its name and that of its type. */
        const val BYTES_PER_MACHINE = 40
    }
}
