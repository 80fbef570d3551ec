package io.otterknot.scheduling

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Counts for each image the machines of a partition that hold it; updated as machines fetch and evict images. */
class ImageCounts {
    private val machineCounts = Object2IntOpenHashMap<String>()

    fun added(image: String) {
        machineCounts.addTo(image, 1)
    }

    fun removed(image: String) {
        if (machineCounts.addTo(image, -1) <= 1) machineCounts.removeInt(image)
    }

    /** Returns up to [maxCount] images held by at least [minMachines] machines, the most widely held first. */
    fun mostCommon(maxCount: Int, minMachines: Int): List<String> = machineCounts.object2IntEntrySet()
        .filter { it.intValue >= minMachines }
        .sortedWith(compareByDescending<Map.Entry<String, Int>> { it.value }.thenBy { it.key })
        .take(maxCount)
        .map { it.key }
}
