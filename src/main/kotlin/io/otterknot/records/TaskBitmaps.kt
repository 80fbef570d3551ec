package io.otterknot.records

import java.util.Base64
import java.util.BitSet

/**
 * Sets of tasks as base64 of their bits, in chunks of [CHUNK_TASKS] tasks, or of [FINE_CHUNK_TASKS] in large jobs. A
 * chunk is named after its job, with a dot and its index behind unless that is 0.
 */
object TaskBitmaps {
    const val CHUNK_TASKS = 16_384

    /** The size of a chunk in a job with more tasks than this; its base64 takes 700 bytes. */
    const val FINE_CHUNK_TASKS = 4_096

    /** The size of the chunks of a job with [tasks] tasks. */
    fun chunkSize(tasks: Int): Int = if (tasks > FINE_CHUNK_TASKS) FINE_CHUNK_TASKS else CHUNK_TASKS

    fun chunkName(job: String, index: Int): String = if (index == 0) job else "$job.$index"

    /** The job of the chunk [name]. */
    fun jobOf(name: String): String = name.substringBefore('.')

    /** The index of the chunk [name]. */
    fun indexOf(name: String): Int = name.substringAfter('.', "0").toInt()

    /** The chunk [index], of [size] tasks, of the set [tasks]. */
    fun encode(tasks: BitSet, index: Int, size: Int = CHUNK_TASKS): String =
        Base64.getEncoder().withoutPadding().encodeToString(tasks.get(index * size, (index + 1) * size).toByteArray())

    /** Adds the tasks of the chunk [index], encoded as [text], to [tasks]. */
    fun decodeInto(text: String, index: Int, tasks: BitSet, size: Int = CHUNK_TASKS) {
        val bits = BitSet.valueOf(Base64.getDecoder().decode(text))
        var next = bits.nextSetBit(0)
        while (next >= 0) {
            tasks.set(index * size + next)
            next = bits.nextSetBit(next + 1)
        }
    }
}
