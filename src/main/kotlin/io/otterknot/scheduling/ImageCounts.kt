package io.otterknot.scheduling

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** On how many machines of a partition each image is, kept up as machines fetch and evict images. */
class ImageCounts {
    private val machineCounts = Object2IntOpenHashMap<String>()

    fun added(image: String) {
        machineCounts.addTo(image, 1)
    }

    fun removed(image: String) {
        if (machineCounts.addTo(image, -1) <= 1) machineCounts.removeInt(image)
    }

    /** The images that are on most machines, at most [maxCount] of them, each on at least [minMachines] machines. */
    fun mostCommon(maxCount: Int, minMachines: Int): List<String> = machineCounts.object2IntEntrySet()
        .filter { it.intValue >= minMachines }
        .sortedWith(compareByDescending<Map.Entry<String, Int>> { it.value }.thenBy { it.key })
        .take(maxCount)
        .map { it.key }
}
