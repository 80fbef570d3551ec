package io.otterknot.scheduling

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** On how many machines of a partition each image is, kept up as machines take images and drop them. */
class ImageCounts {
    private val machines = Object2IntOpenHashMap<String>()

    fun added(image: String) {
        machines.addTo(image, 1)
    }

    fun removed(image: String) {
        if (machines.addTo(image, -1) <= 1) machines.removeInt(image)
    }

    /** The images that are on most machines, at most [count] of them and each on at least [least] machines. */
    fun mostCommon(count: Int, least: Int): List<String> = machines.object2IntEntrySet()
        .filter { it.intValue >= least }
        .sortedWith(compareByDescending<Map.Entry<String, Int>> { it.value }.thenBy { it.key })
        .take(count)
        .map { it.key }
}
