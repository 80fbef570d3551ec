package io.otterknot.records

/** Distributes many small records over few keys, as each write to a key counts against the rate limit at any size. */
object RecordSegments {
    /**
     * Returns the segments that have to be written so that no segment contains a name of [removed], each name of
     * [added] is in a segment, and no written segment has more than [maxNames] names. A name that is already stored
     * stays in its segment. The exception is a segment that has to be written and has become too large: its last names
     * move to other segments, which come first in the result, since one batch may not write all. A segment without
     * names is returned empty.
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
        val moved = LinkedHashMap<String, String>()
        for (number in shortened) moved.putAll(removeExcess(segments.getValue(number), maxNames))
        for ((name, value) in moved + added) {
            if (segments.values.any { name in it }) continue
            segments.getValue(segmentBelowLimit(segments, maxNames))[name] = value
        }
        val changed = segments.filter { (number, names) -> names != current[number] }
        return changed.filterKeys { it !in shortened } + changed.filterKeys { it in shortened }
    }

    /** Removes and returns the entries after the first [maxNames]. */
    private fun removeExcess(names: MutableMap<String, String>, maxNames: Int): Map<String, String> {
        val excess = names.entries.drop(maxNames).associate { it.key to it.value }
        names.keys.removeAll(excess.keys)
        return excess
    }

    /**
     * Returns the number of the first segment with fewer than [maxNames] names. If there is none, adds a segment under
     * the first unused number.
     */
    private fun segmentBelowLimit(segments: MutableMap<Int, LinkedHashMap<String, String>>, maxNames: Int): Int =
        segments.entries.firstOrNull { it.value.size < maxNames }?.key
            ?: (0..segments.size).first { it !in segments }.also { segments[it] = LinkedHashMap() }
}
