package io.otterknot.controller

import io.otterknot.records.MachineSegmentRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.store.StoreReplica

/**
 * The machines that may hold tasks of each partition, with their types, as the replica shows them. Owns a cache of
 * them by zone, which only [ReplicaChangeDispatcher] invalidates.
 */
class RegisteredMachines(private val replica: StoreReplica) {
    private val byZone = HashMap<String, Map<String, String>>()

    /** Returns the names of the machine types in [zone], by machine name. */
    fun typesByMachine(zone: String): Map<String, String> = byZone.getOrPut(zone) {
        val types = HashMap<String, String>()
        replica.machineSegments(zone).values.forEach(types::putAll)
        types
    }

    /** Drops the cached machines of [zone]; to be called when one of its segments has changed. */
    fun invalidate(zone: String) {
        byZone.remove(zone)
    }
}

/** Returns the machines that may hold tasks of [zone] with their types, by segment number. */
internal fun StoreReplica.machineSegments(zone: String): Map<Int, Map<String, String>> =
    entriesUnder(StoreKeys.machineSegments(zone)).associate { (key, entry) ->
        key.substringAfterLast('/').toInt() to decodeRecord(MachineSegmentRecord.serializer(), entry.value).types
    }
