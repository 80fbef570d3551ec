package io.otterknot.records

/** Distribution of many small records over few keys: each change of a key is rate-limited, whatever its size. */
object RecordSegments {
    /**
     * The segments that change so that the names of [removed] are in none and those of [added] in some, with at most
     * [maxNames] names in each that is written. A name that is there already stays in its segment, unless that has to
     * be written and is too large by now: its last names then move on. The segments that take these come first, since a
     * batch may not write all. Segments that end empty are returned empty.
     */
    fun redistribute(
        current: Map<Int, Map<String, String>>,
        removed: Set<String>,
        added: Map<String, String>,
        maxNames: Int,
    ): Map<Int, Map<String, String>> {
        val segments = current.mapValues { (_, names) ->
            LinkedHashMap(names.filterKeys { it !in removed })
        }.toSortedMap()
        val shortened = segments.filter { (number, names) -> names.size > maxNames && names != current[number] }.keys
        val moving = LinkedHashMap<String, String>()
        for (number in shortened) moving.putAll(takeExcess(segments.getValue(number), maxNames))
        for ((name, value) in moving + added) {
            if (segments.values.any { name in it }) continue
            segments.getValue(numberWithRoom(segments, maxNames))[name] = value
        }
        val changed = segments.filter { (number, names) -> names != current[number] }
        return changed.filterKeys { it !in shortened } + changed.filterKeys { it in shortened }
    }

    /** Removes and returns what is beyond [maxNames]. */
    private fun takeExcess(names: MutableMap<String, String>, maxNames: Int): Map<String, String> {
        val excess = names.entries.drop(maxNames).associate { it.key to it.value }
        names.keys.removeAll(excess.keys)
        return excess
    }

    /** The first segment with room for a name; the first unused number, with a new segment, if there is none. */
    private fun numberWithRoom(segments: MutableMap<Int, LinkedHashMap<String, String>>, maxNames: Int): Int =
        segments.entries.firstOrNull { it.value.size < maxNames }?.key
            ?: (0..segments.size).first { it !in segments }.also { segments[it] = LinkedHashMap() }
}
