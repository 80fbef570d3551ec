package io.otterknot.partition

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Names mapped to dense indices: what has a name, without gaps; the last one takes the place of one that leaves. */
class NameIndex<T : Any>(private val nameOf: (T) -> String) {
    private val slots = Object2IntOpenHashMap<String>().apply { defaultReturnValue(-1) }
    private val items = ArrayList<T>()
    val all: List<T> get() = items

    operator fun get(name: String): T? = slots.getInt(name).let { if (it < 0) null else items[it] }

    fun add(item: T) {
        slots.put(nameOf(item), items.size)
        items.add(item)
    }

    fun remove(name: String) {
        val slot = slots.removeInt(name)
        if (slot < 0) return
        val last = items.removeAt(items.size - 1)
        if (slot == items.size) return
        items[slot] = last
        slots.put(nameOf(last), slot)
    }
}
