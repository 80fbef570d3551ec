package io.otterknot.jobs

import io.otterknot.records.CompletionSegmentRecord
import io.otterknot.records.DependencySegmentRecord
import io.otterknot.records.JobRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.TaskBitmaps
import io.otterknot.records.TerminalState
import io.otterknot.records.decodeRecord
import io.otterknot.store.ReplicaEntry
import io.otterknot.store.Snapshot
import io.otterknot.wire.JobSpec
import org.slf4j.LoggerFactory
import java.util.BitSet

/** What the replica says of one job. */
class Job(val id: String) {
    /** Its own key as last read, record and version together; null: not read yet. */
    var stored: Snapshot<JobRecord>? = null
    val record: JobRecord? get() = stored?.value
    val done = BitSet()

    /** What it awaits, and what follows from that; see [DependencyGraph]. */
    var dependencies = JobDependencies(emptySet())

    val spec: JobSpec? get() = record?.spec
    val final: TerminalState? get() = record?.final

    /** Its final state, written or certain: what awaits a cancelled job can never run. */
    val outcome: TerminalState? get() = final ?: TerminalState.CANCELLED.takeIf { dependencies.orphaned }
    val live: Boolean get() = record?.spec != null && final == null
    val complete: Boolean get() = outcome == null && spec?.let { done.cardinality() >= it.tasks } ?: false

    /** The end that follows from what is durable, as long as it is not recorded. */
    val unrecordedEnd: TerminalState? get() = when {
        !live -> null
        dependencies.orphaned -> TerminalState.CANCELLED
        complete -> TerminalState.DONE
        else -> null
    }

    /** Every job that it awaits is durably done, which never turns back. */
    val ready: Boolean get() = dependencies.unmet == 0 && !dependencies.orphaned

    /** Since when it could run, by the time of day. */
    val readyMs: Long get() = maxOf(record?.submittedMs ?: 0, dependencies.satisfiedMs)
}

/** All jobs ever accepted; final ones are kept without their description. */
class JobTable {
    private val log = LoggerFactory.getLogger(JobTable::class.java)
    private val jobs = HashMap<String, Job>()
    private val segments = HashMap<String, CompletionSegmentRecord>()
    private val pipelines = DependencyGraph { jobs[it] }
    val live = LinkedHashMap<String, Job>()

    operator fun get(id: String): Job? = jobs[id]?.takeIf { it.record != null }

    private fun known(id: String) = jobs.getOrPut(id) { Job(id) }

    /** Takes a change of a job's own key; the job, and others of which something else holds now. */
    fun applyJobChange(key: String, entry: ReplicaEntry?): List<Job> {
        val job = known(key.substring(StoreKeys.JOBS.length))
        if (entry == null) return listOf(job)
        val earlier = job.final
        val ended = earlier != null
        job.stored = Snapshot(key, decodeRecord(JobRecord.serializer(), entry.value), entry.version)
        // No transition leads here. Versions before this one could do it, see docs/incidents/went-back.md.
        if (ended && job.final != earlier) log.error("{} was {} and is {} now", job.id, earlier, job.final)
        if (job.live) {
            live[job.id] = job
        } else {
            live.remove(job.id)
            job.done.clear()
        }
        return if (ended) listOf(job) else listOf(job) + pipelines.changed(job)
    }

    /** Takes a key with jobs that some job awaits. */
    fun applyDependencySegment(key: String, entry: ReplicaEntry?): List<Job> {
        if (entry == null) return emptyList()
        val path = key.substring(StoreKeys.DEPENDENCIES.length)
        return pipelines.addAwaitedJobs(
            known(path.substringBefore('/')),
            path.substringAfter('/').toInt(),
            decodeRecord(DependencySegmentRecord.serializer(), entry.value).jobs,
        )
    }

    /** Takes a change of a segment of completions; the jobs of which tasks are newly done. */
    fun applyCompletionSegment(key: String, entry: ReplicaEntry?): List<Job> {
        if (entry == null) {
            segments.remove(key)
            return emptyList()
        }
        val before = segments[key] ?: CompletionSegmentRecord()
        val record = decodeRecord(CompletionSegmentRecord.serializer(), entry.value)
        segments[key] = record
        val changed = LinkedHashSet<Job>()
        fun take(bits: Map<String, String>, known: Map<String, String>, size: Int) {
            for ((name, text) in bits) {
                if (known[name] == text) continue
                val job = known(TaskBitmaps.job(name))
                if (job.final != null) continue
                TaskBitmaps.decodeInto(text, TaskBitmaps.chunk(name), job.done, size)
                changed.add(job)
            }
        }
        take(record.bits, before.bits, TaskBitmaps.CHUNK)
        take(record.fine.orEmpty(), before.fine.orEmpty(), TaskBitmaps.FINE_CHUNK)
        return changed.toList()
    }

    /** The segments of completions under [prefix], by key. */
    fun segments(prefix: String): Map<String, CompletionSegmentRecord> = segments.filterKeys { it.startsWith(prefix) }

    /** Whether a name in a segment still says something: its job is not over. */
    fun isStillNeeded(name: String): Boolean = jobs[TaskBitmaps.job(name)]?.final == null
}
