package io.otterknot.controller

import io.otterknot.records.MachineSegmentRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.store.StoreReplica

/**
 * The machines that may hold tasks of each partition, with their types, as the replica shows them. Owns a cache of
 * them by zone, which [ReplicaChangeDispatcher] alone invalidates.
 */
class RegisteredMachines(private val replica: StoreReplica) {
    private val byZone = HashMap<String, Map<String, String>>()

    /** The names of the machine types by machine. */
    fun typesByMachine(zone: String): Map<String, String> = byZone.getOrPut(zone) {
        val types = HashMap<String, String>()
        replica.machineSegments(zone).values.forEach(types::putAll)
        types
    }

    /** Some segment of [zone] has changed. */
    fun invalidate(zone: String) {
        byZone.remove(zone)
    }
}

/** The machines that may run tasks of [zone] and their types, by segment number. */
internal fun StoreReplica.machineSegments(zone: String): Map<Int, Map<String, String>> =
    entriesUnder(StoreKeys.machineSegments(zone)).associate { (key, entry) ->
        key.substringAfterLast('/').toInt() to decodeRecord(MachineSegmentRecord.serializer(), entry.value).types
    }
