package io.otterknot.records

/** Many small records under few keys: each change of a key is rationed, whatever it holds. */
object RecordSegments {
    /**
     * The segments that change so that [gone] names are in none and [fresh] ones are in some, with at most [room] names
     * in each that is written; a name that is there already stays where it is, unless its segment has to be written and
     * is too large by now: what is too much moves on, and the segments that take it come first, since a batch may not
     * take all. Segments that end empty are returned empty.
     */
    fun spread(
        kept: Map<Int, Map<String, String>>,
        gone: Set<String>,
        fresh: Map<String, String>,
        room: Int,
    ): Map<Int, Map<String, String>> {
        val now = kept.mapValues { (_, names) -> LinkedHashMap(names.filterKeys { it !in gone }) }.toSortedMap()
        val moving = LinkedHashMap<String, String>()
        val cut = now.filter { (segment, names) -> names.size > room && names != kept[segment] }.keys
        for (segment in cut) {
            val names = now.getValue(segment)
            val much = names.entries.drop(room).associate { it.key to it.value }
            names.keys.removeAll(much.keys)
            moving.putAll(much)
        }
        for ((name, value) in moving + fresh) {
            if (now.values.any { name in it }) continue
            val segment = now.entries.firstOrNull { it.value.size < room }?.key
                ?: (0..now.size).first { it !in now }.also { now[it] = LinkedHashMap() }
            now.getValue(segment)[name] = value
        }
        val changed = now.filter { (segment, names) -> names != kept[segment] }
        return changed.filterKeys { it !in cut } + changed.filterKeys { it in cut }
    }
}
