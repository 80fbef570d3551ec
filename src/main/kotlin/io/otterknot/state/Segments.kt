package io.otterknot.state

/** Many small records under few keys: each change of a key is rationed, whatever it holds. */
object Segments {
    /**
     * The segments that change so that [gone] names are in none and [fresh] ones are in some, with at most [room] names
     * in each; a name that is there already stays where it is. Segments that end empty are returned empty.
     */
    fun spread(
        kept: Map<Int, Map<String, String>>, gone: Set<String>, fresh: Map<String, String>, room: Int,
    ): Map<Int, Map<String, String>> {
        val result = LinkedHashMap<Int, Map<String, String>>()
        val now = kept.mapValues { (_, names) -> LinkedHashMap(names.filterKeys { it !in gone }) }.toSortedMap()
        for ((name, value) in fresh) {
            if (now.values.any { name in it }) continue
            val segment = now.entries.firstOrNull { it.value.size < room }?.key
                ?: (0..now.size).first { it !in now }.also { now[it] = LinkedHashMap() }
            now.getValue(segment)[name] = value
        }
        for ((segment, names) in now) if (names != kept[segment]) result[segment] = names
        return result
    }
}
