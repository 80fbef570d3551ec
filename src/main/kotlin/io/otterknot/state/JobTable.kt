package io.otterknot.state

import io.otterknot.wire.JobSpec
import java.util.BitSet

/** What the replica says of one job. */
class Job(val id: String) {
    var record: JobRecord? = null
    var version: Long = 0
    val done = BitSet()

    val spec: JobSpec? get() = record?.spec
    val final: Final? get() = record?.final
    val live: Boolean get() = record?.spec != null && final == null
    val complete: Boolean get() = spec?.let { done.cardinality() >= it.tasks } ?: false
}

/** All jobs ever accepted; final ones are kept without their description. */
class JobTable {
    private val jobs = HashMap<String, Job>()
    private val segments = HashMap<String, Map<String, String>>()
    val live = LinkedHashMap<String, Job>()

    operator fun get(id: String): Job? = jobs[id]?.takeIf { it.record != null }

    /** Takes a change of a job's own key. */
    fun changeJob(key: String, entry: Entry?): Job {
        val id = key.substring(Keys.JOBS.length)
        val job = jobs.getOrPut(id) { Job(id) }
        if (entry == null) return job
        job.record = decodeRecord(JobRecord.serializer(), entry.value)
        job.version = entry.version
        if (job.live) {
            live[id] = job
        } else {
            live.remove(id)
            job.done.clear()
        }
        return job
    }

    /** Takes a change of a segment of completions; the jobs of which tasks are newly done. */
    fun changeDone(key: String, entry: Entry?): List<Job> {
        if (entry == null) {
            segments.remove(key)
            return emptyList()
        }
        val known = segments[key].orEmpty()
        val bits = decodeRecord(DoneRecord.serializer(), entry.value).bits
        segments[key] = bits
        val changed = ArrayList<Job>()
        for ((name, text) in bits) {
            if (known[name] == text) continue
            val job = jobs.getOrPut(TaskBits.job(name)) { Job(TaskBits.job(name)) }
            if (job.final != null) continue
            TaskBits.decodeInto(text, TaskBits.chunk(name), job.done)
            changed.add(job)
        }
        return changed
    }

    /** The segments of completions under [prefix], by key. */
    fun segments(prefix: String): Map<String, Map<String, String>> = segments.filterKeys { it.startsWith(prefix) }

    /** Whether a name in a segment still says something: its job is not over. */
    fun matters(name: String): Boolean = jobs[TaskBits.job(name)]?.final == null
}
