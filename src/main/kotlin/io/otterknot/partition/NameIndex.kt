package io.otterknot.partition

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Items by name, and in a list without gaps: when an item is removed, the last item takes its position. */
class NameIndex<T : Any>(private val nameOf: (T) -> String) {
    private val slots = Object2IntOpenHashMap<String>().apply { defaultReturnValue(ABSENT) }
    private val items = ArrayList<T>()
    val all: List<T> get() = items

    operator fun get(name: String): T? {
        val slot = slots.getInt(name)
        return if (slot == ABSENT) null else items[slot]
    }

    /** Adds [item], whose name must not be in the index yet. */
    fun add(item: T) {
        slots.put(nameOf(item), items.size)
        items.add(item)
    }

    fun remove(name: String) {
        val slot = slots.removeInt(name)
        if (slot == ABSENT) return
        val last = items.removeAt(items.size - 1)
        if (slot == items.size) return
        items[slot] = last
        slots.put(nameOf(last), slot)
    }

    private companion object {
        const val ABSENT = -1
    }
}
