package io.otterknot.controller

import io.otterknot.records.MachineSegmentRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.store.StoreReplica

/** The machines that may hold tasks of each partition, with their types, as the replica has them. */
class RegisteredMachines(private val replica: StoreReplica) {
    /** As last read from the replica, until that changes. */
    private val byZone = HashMap<String, Map<String, String>>()

    fun of(zone: String): Map<String, String> = byZone.getOrPut(zone) {
        val types = HashMap<String, String>()
        replica.machineSegments(zone).values.forEach(types::putAll)
        types
    }

    /** Some segment of [zone] has changed. */
    fun changed(zone: String) {
        byZone.remove(zone)
    }
}

/** The machines that may run tasks of [zone] and their types, by segment number. */
internal fun StoreReplica.machineSegments(zone: String): Map<Int, Map<String, String>> =
    entriesUnder(StoreKeys.machineSegments(zone)).associate { (key, entry) ->
        key.substringAfterLast('/').toInt() to decodeRecord(MachineSegmentRecord.serializer(), entry.value).types
    }
