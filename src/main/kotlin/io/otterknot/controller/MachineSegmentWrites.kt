package io.otterknot.controller

import io.otterknot.partition.Partition
import io.otterknot.records.MachineSegmentRecord
import io.otterknot.records.RecordSegments
import io.otterknot.records.StoreKeys
import io.otterknot.records.encodeRecord
import io.otterknot.store.PendingWrite
import io.otterknot.store.StoreReplica
import io.otterknot.store.WriteLimits
import io.otterknot.store.utf8Bytes
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive

/** Registers machines before their first task, and removes those that no longer exist. Owns no state. */
class MachineSegmentWrites(private val replica: StoreReplica, private val limits: WriteLimits) : PartitionWriteSource {
    override fun writes(partition: Partition): List<PendingWrite> {
        val added = partition.fleet.unregistered().associate { it.id to it.type.name }
        if (added.isEmpty() && partition.fleet.released.isEmpty()) return emptyList()
        val stored = replica.machineSegments(partition.zone)
        val changed =
            RecordSegments.redistribute(stored, partition.fleet.released, added, limits.maxRecordBytes, ::entryBytes)
        val precedingKeys = LinkedHashSet<String>()
        return changed.map { (segment, types) ->
            val key = StoreKeys.machineSegment(partition.zone, segment)
            // A machine must be in some segment at any time: a segment that a machine is moved out of is written after
            // the segments before it, which include the one that the machine is moved to.
            val movedOut = stored[segment].orEmpty().keys - types.keys - partition.fleet.released
            val dependsOn = if (movedOut.isEmpty()) emptySet() else precedingKeys.toSet()
            precedingKeys.add(key)
            PendingWrite(key, valueOf(types), dependsOn)
        }
    }

    /** Returns the value of a segment, or null if no machine is left in it, so that its key is removed. */
    private fun valueOf(types: Map<String, String>): JsonElement? {
        if (types.isEmpty()) return null
        return encodeRecord(MachineSegmentRecord.serializer(), MachineSegmentRecord(types))
    }

    /** Returns the space that one machine takes in a segment: its name and the name of its type. */
    private fun entryBytes(machine: Map.Entry<String, String>): Int =
        maxOf(MIN_BYTES_PER_MACHINE, encodedBytes(machine.key) + encodedBytes(machine.value) + SEPARATOR_BYTES)

    private fun encodedBytes(name: String): Int = JsonPrimitive(name).utf8Bytes

    private companion object {
        /** More than usual names need, so that segments do not change their size with each name. */
        const val MIN_BYTES_PER_MACHINE = 40

        /** A colon and a comma. */
        const val SEPARATOR_BYTES = 2
    }
}
