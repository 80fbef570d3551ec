package io.otterknot.controller

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
