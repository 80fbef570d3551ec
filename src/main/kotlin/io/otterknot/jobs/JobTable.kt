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
import org.slf4j.LoggerFactory

/**
 * All jobs ever accepted, as the replica shows them; jobs that have ended are kept without their spec. Each call of an
 * `apply` function handles one changed key, and keys may be read in any order. The entry is null for a removed key.
 */
class JobTable {
    private val log = LoggerFactory.getLogger(JobTable::class.java)
    private val jobs = HashMap<String, Job>()
    private val completionSegments = HashMap<String, CompletionSegmentRecord>()
    private val dependencyGraph = DependencyGraph { jobs[it] }
    private val active = LinkedHashMap<String, Job>()

    /** The jobs without a recorded terminal state, in the order in which they were first read. */
    val activeJobs: Collection<Job> get() = active.values

    /** The job with this id, or null if the replica shows no accepted job with it. */
    operator fun get(id: String): Job? = jobs[id]?.takeIf { it.record != null }

    /** Applies a change of a job's own key; returns that job and the other jobs that this affects. */
    fun applyJobChange(key: String, entry: ReplicaEntry?): List<Job> {
        val job = getOrCreate(key.substring(StoreKeys.JOBS.length))
        if (entry == null) return listOf(job)
        val earlierState = job.recordedTerminalState
        job.snapshot = Snapshot(key, decodeRecord(JobRecord.serializer(), entry.value), entry.version)
        if (earlierState != null) checkStateUnchanged(job, earlierState)
        if (job.isActive) {
            active[job.id] = job
        } else {
            active.remove(job.id)
            job.completedTasks.clear()
        }
        return if (earlierState != null) listOf(job) else listOf(job) + dependencyGraph.jobChanged(job)
    }

    /** Applies a change of a segment of a job's dependencies; returns the jobs that this affects. */
    fun applyDependencySegment(key: String, entry: ReplicaEntry?): List<Job> {
        if (entry == null) return emptyList()
        val path = key.substring(StoreKeys.DEPENDENCIES.length)
        return dependencyGraph.addSegment(
            dependent = getOrCreate(path.substringBefore('/')),
            number = path.substringAfter('/').toInt(),
            dependencyIds = decodeRecord(DependencySegmentRecord.serializer(), entry.value).jobs,
        )
    }

    /** Applies a change of a completion segment; returns the jobs whose completion bitmaps changed. */
    fun applyCompletionSegment(key: String, entry: ReplicaEntry?): List<Job> {
        if (entry == null) {
            completionSegments.remove(key)
            return emptyList()
        }
        val before = completionSegments[key] ?: CompletionSegmentRecord()
        val record = decodeRecord(CompletionSegmentRecord.serializer(), entry.value)
        completionSegments[key] = record
        val changed = LinkedHashSet<Job>()
        applyBitmaps(record.bitmaps, before.bitmaps, TaskBitmaps.CHUNK_TASKS, changed)
        applyBitmaps(record.fineBitmaps.orEmpty(), before.fineBitmaps.orEmpty(), TaskBitmaps.FINE_CHUNK_TASKS, changed)
        return changed.toList()
    }

    /** The completion segments whose key starts with [prefix], by key. */
    fun completionSegments(prefix: String): Map<String, CompletionSegmentRecord> =
        completionSegments.filterKeys { it.startsWith(prefix) }

    /** Whether the bitmap of this name in a completion segment must be kept because its job has not ended. */
    fun isBitmapNeeded(name: String): Boolean = jobs[TaskBitmaps.jobOf(name)]?.recordedTerminalState == null

    private fun getOrCreate(id: String) = jobs.getOrPut(id) { Job(id) }

    /** Decodes those of [bitmaps] that differ from [earlier] and adds their jobs to [changed]. */
    private fun applyBitmaps(
        bitmaps: Map<String, String>,
        earlier: Map<String, String>,
        chunkSize: Int,
        changed: MutableSet<Job>,
    ) {
        for ((name, text) in bitmaps) {
            if (earlier[name] == text) continue
            val job = getOrCreate(TaskBitmaps.jobOf(name))
            if (job.recordedTerminalState != null) continue
            TaskBitmaps.decodeInto(text, TaskBitmaps.indexOf(name), job.completedTasks, chunkSize)
            changed.add(job)
        }
    }

    /**
     * Logs an error if the recorded terminal state has been replaced. No transition does so, but earlier versions
     * could: see docs/incidents/went-back.md.
     */
    private fun checkStateUnchanged(job: Job, earlierState: TerminalState) {
        val state = job.recordedTerminalState
        if (state != earlierState) {
            log.error("job={} was={} now={} terminal state replaced", job.id, earlierState, state)
        }
    }
}
