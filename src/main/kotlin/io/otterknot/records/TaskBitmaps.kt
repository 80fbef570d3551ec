package io.otterknot.records

import java.util.Base64
import java.util.BitSet

/**
 * Encodes sets of tasks as base64 of their bits, in chunks of [CHUNK_TASKS] tasks, or of [FINE_CHUNK_TASKS] tasks for
 * large jobs. The name of a chunk is the job id, followed by a dot and the index of the chunk unless that is 0.
 */
object TaskBitmaps {
    const val CHUNK_TASKS = 16_384

    /** Tasks per chunk for a job with more tasks than this; the base64 of a chunk then has at most 700 bytes. */
    const val FINE_CHUNK_TASKS = 4_096

    /** Returns the number of tasks per chunk for a job with [tasks] tasks. */
    fun chunkSize(tasks: Int): Int = if (tasks > FINE_CHUNK_TASKS) FINE_CHUNK_TASKS else CHUNK_TASKS

    fun chunkName(job: String, index: Int): String = if (index == 0) job else "$job.$index"

    /** Returns the job id in the chunk name [name]. */
    fun jobOf(name: String): String = name.substringBefore('.')

    /** Returns the chunk index in the chunk name [name]. */
    fun indexOf(name: String): Int = name.substringAfter('.', "0").toInt()

    /** Encodes the chunk [index], of [size] tasks, of the set [tasks]. */
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
