package io.otterknot.records

/** Distributes many small records over few keys, as each write to a key counts against the rate limit at any size. */
object RecordSegments {
    /**
     * Returns the segments that have to be written so that no segment contains a name of [removed], each name of
     * [added] is in a segment, and the sizes of the entries of a written segment, by [sizeOf], are at most [capacity] in
     * total, unless it has only one entry. By default each entry has the size 1. A name that is already stored
     * stays in its segment. The exception is a segment that has to be written and has become too large: its last names
     * move to other segments, which come first in the result, since one batch may not write all. A segment without
     * names is returned empty.
     */
    fun redistribute(
        current: Map<Int, Map<String, String>>,
        removed: Set<String>,
        added: Map<String, String>,
        capacity: Int,
        sizeOf: (Map.Entry<String, String>) -> Int = { 1 },
    ): Map<Int, Map<String, String>> {
        val segments = current.mapValues { (_, names) ->
            LinkedHashMap(names.filterKeys { it !in removed })
        }.toSortedMap()
        val sizes = segments.mapValuesTo(HashMap()) { (_, names) -> names.entries.sumOf(sizeOf) }
        val shortened = segments.filter { (number, names) ->
            sizes.getValue(number) > capacity && names != current[number]
        }.keys
        val moved = LinkedHashMap<String, String>()
        for (number in shortened) {
            val excess = removeExcess(segments.getValue(number), capacity, sizeOf)
            sizes.merge(number, -excess.entries.sumOf(sizeOf), Int::plus)
            moved.putAll(excess)
        }
        for (entry in (moved + added).entries) {
            if (segments.values.any { entry.key in it }) continue
            val size = sizeOf(entry)
            val number = segmentWithSpace(segments) { sizes.getOrDefault(it, 0) + size <= capacity }
            segments.getValue(number)[entry.key] = entry.value
            sizes.merge(number, size, Int::plus)
        }
        val changed = segments.filter { (number, names) -> names != current[number] }
        return changed.filterKeys { it !in shortened } + changed.filterKeys { it in shortened }
    }

    /** Removes and returns the entries after those that fit into [capacity]; the first one always remains. */
    private fun removeExcess(
        names: MutableMap<String, String>,
        capacity: Int,
        sizeOf: (Map.Entry<String, String>) -> Int,
    ): Map<String, String> {
        var size = 0
        var kept = 0
        for (entry in names.entries) {
            size += sizeOf(entry)
            if (kept > 0 && size > capacity) break
            kept++
        }
        val excess = names.entries.drop(kept).associate { it.key to it.value }
        names.keys.removeAll(excess.keys)
        return excess
    }

    /**
     * Returns the number of the first segment that [hasSpace]. If there is none, adds a segment under the first unused
     * number.
     */
    private fun segmentWithSpace(
        segments: MutableMap<Int, LinkedHashMap<String, String>>,
        hasSpace: (number: Int) -> Boolean,
    ): Int = segments.keys.firstOrNull(hasSpace)
        ?: (0..segments.size).first { it !in segments }.also { segments[it] = LinkedHashMap() }
}
