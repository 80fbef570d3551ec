package io.otterknot.partition

import io.otterknot.records.QuotaAmount
import io.otterknot.wire.MachineType

/** A set of machines, by id with the names of their types, and the sum of their capacities. */
class MachineSet(typeNames: Map<String, String>, private val machineTypes: (name: String) -> MachineType?) {
    private val typeNames = HashMap(typeNames)

    /**
     * The sum, or null if it has to be computed. It is cached since each pending job reads it in each scheduling pass,
     * and after a restart of all controllers every machine of the partition may be in the set.
     */
    private var cachedCapacity: QuotaAmount? = null

    val size: Int get() = typeNames.size
    val isEmpty: Boolean get() = typeNames.isEmpty()

    operator fun contains(id: String): Boolean = id in typeNames

    fun add(id: String, typeName: String) {
        if (typeNames.put(id, typeName) == null) cachedCapacity = null
    }

    /** Removes the machine. Returns whether it was in the set. */
    fun remove(id: String): Boolean {
        val typeName = typeNames.remove(id) ?: return false
        cachedCapacity = cachedCapacity?.minus(capacityOf(typeName) ?: QuotaAmount())
        return true
    }

    fun removeIf(predicate: (id: String) -> Boolean) {
        if (typeNames.keys.removeIf(predicate)) cachedCapacity = null
    }

    /** The ids of the machines that satisfy [predicate], with the names of their types. */
    fun filter(predicate: (id: String) -> Boolean): Map<String, String> = typeNames.filterKeys(predicate)

    /** The total capacity of the machines, or null if the type of one of them is unknown. */
    fun capacity(): QuotaAmount? = cachedCapacity ?: sum().also { cachedCapacity = it }

    private fun sum(): QuotaAmount? {
        var sum = QuotaAmount()
        for (typeName in typeNames.values) sum += capacityOf(typeName) ?: return null
        return sum
    }

    private fun capacityOf(typeName: String): QuotaAmount? =
        machineTypes(typeName)?.let { QuotaAmount(it.cores, it.gpus) }
}
