package io.otterknot.state

import io.otterknot.wire.JobSpec
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import java.util.BitSet

/** What the replica says of one job. */
class Job(val id: String) {
    var record: JobRecord? = null
    var version: Long = 0
    val done = BitSet()
    val doneKeys = HashSet<String>()

    val spec: JobSpec? get() = record?.spec
    val final: Final? get() = record?.final
    val live: Boolean get() = record?.spec != null && final == null
    val complete: Boolean get() = spec?.let { done.cardinality() >= it.tasks } ?: false
}

/** All jobs ever accepted; final ones are kept without their description. */
class JobTable {
    private val jobs = HashMap<String, Job>()
    val live = LinkedHashMap<String, Job>()

    operator fun get(id: String): Job? = jobs[id]?.takeIf { it.record != null }

    /** Takes one change of the replica; the job it concerns, or null if it is about something else. */
    fun change(key: String, entry: Entry?): Job? = when {
        key.startsWith(Keys.JOBS) -> {
            val id = key.substring(Keys.JOBS.length)
            val job = jobs.getOrPut(id) { Job(id) }
            if (entry != null) {
                job.record = decodeRecord(JobRecord.serializer(), entry.value)
                job.version = entry.version
                if (job.live) {
                    live[id] = job
                } else {
                    live.remove(id)
                    job.done.clear()
                }
            }
            job
        }
        key.startsWith(Keys.DONE) -> {
            val (id, _, chunk) = key.substring(Keys.DONE.length).split('/')
            val job = jobs.getOrPut(id) { Job(id) }
            if (entry != null) {
                job.doneKeys.add(key)
                if (job.final == null) {
                    TaskBits.decodeInto((entry.value as JsonPrimitive).contentOrNull.orEmpty(), chunk.toInt(), job.done)
                }
            } else {
                job.doneKeys.remove(key)
            }
            job
        }
        else -> null
    }
}
