package io.otterknot.partition

import io.otterknot.records.QuotaAmount
import io.otterknot.wire.MachineType

/** Machines of which all counts as used since it is not known what is on them, with their types. */
class UnreconciledMachines(machines: Map<String, String>, private val typeOf: (String) -> MachineType?) {
    private val types = HashMap(machines)

    /**
     * What all of them have, added up once: each waiting job asks for it in each pass, and after all controllers have
     * ended there are as many unreconciled as machines. Null while some type is not known.
     */
    private var added: QuotaAmount? = null

    val size: Int get() = types.size
    val empty: Boolean get() = types.isEmpty()

    operator fun contains(id: String): Boolean = id in types

    fun add(id: String, type: String) {
        if (types.put(id, type) == null) added = null
    }

    fun remove(id: String): Boolean {
        val type = types.remove(id) ?: return false
        added = added?.minus(amountOf(type) ?: QuotaAmount())
        return true
    }

    fun removeIf(surelyOver: (id: String) -> Boolean) {
        if (types.keys.removeIf(surelyOver)) added = null
    }

    /** The names of those that [wanted] picks, with their types. */
    fun filter(wanted: (id: String) -> Boolean): Map<String, String> = types.filterKeys(wanted)

    /** What they may hold together; null: not known, so nothing can be said to be left. */
    fun amount(): QuotaAmount? = added ?: addUp().also { added = it }

    private fun amountOf(type: String): QuotaAmount? = typeOf(type)?.let { QuotaAmount(it.cores, it.cards) }

    private fun addUp(): QuotaAmount? = types.values.fold(QuotaAmount()) { sum, type ->
        sum +
            (amountOf(type) ?: return null)
    }
}
