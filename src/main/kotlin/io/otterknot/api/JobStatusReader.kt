package io.otterknot.api

import io.otterknot.api.JobRequestOutcome.Existing
import io.otterknot.api.JobRequestOutcome.NotFound
import io.otterknot.api.JobRequestOutcome.Unavailable
import io.otterknot.jobs.Job
import io.otterknot.partition.Partition
import io.otterknot.records.TerminalState
import io.otterknot.wire.JobState
import io.otterknot.wire.JobStatus
import io.otterknot.wire.isJobId

/** Reads the status of jobs for users. The status is never older than one that any controller has returned before. */
internal class JobStatusReader(private val store: JobStoreAccess, private val partitions: Map<String, Partition>) {
    private val jobs = store.jobs

    suspend fun poll(id: String): JobRequestOutcome {
        // The form of the id is checked only if it is not the id of an ended job in memory.
        findEnded(id)?.let { return existing(it) }
        return if (isJobId(id)) read(id) else NotFound(id)
    }

    /** Reads the current status: a terminal state from memory, any other state after a read barrier on the replica. */
    suspend fun read(id: String): JobRequestOutcome {
        findEnded(id)?.let { return existing(it) }
        if (!store.awaitCurrentReplica()) return Unavailable(UnavailableReason.STORE_UNREACHABLE)
        val job = jobs[id] ?: return NotFound(id)
        return existing(job)
    }

    fun existing(job: Job) = Existing(statusOf(job))

    fun statusOf(job: Job): JobStatus = when (job.terminalState) {
        TerminalState.DONE -> JobStatus(job.id, JobState.DONE, job.record?.taskCount, 0)
        TerminalState.CANCELLED -> JobStatus(job.id, JobState.CANCELLED)
        null -> activeStatus(job)
    }

    private fun activeStatus(job: Job): JobStatus {
        val done = job.completedTasks.cardinality()
        val running = partitions.values.sumOf { it.runningTasks(job.id) }
        val state = if (running > 0 || done > 0) JobState.RUNNING else JobState.QUEUED
        return JobStatus(job.id, state, done, running)
    }

    private fun findEnded(id: String): Job? = jobs[id]?.takeIf { it.terminalState != null }
}
