package io.otterknot.partition

import io.otterknot.jobs.Job
import io.otterknot.records.JobRecord
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.StartReason
import java.util.BitSet

/** The jobs that have tasks in a partition, according to the store replica, and which of these tasks may start. */
class PartitionJobs(
    private val zone: String,
    private val attempts: AttemptLedger,
    private val teams: TeamQuotaLedger,
    private val waitingWork: WaitingWork,
    private val trigger: PlacementTrigger,
) {
    private val byId = NameIndex<PartitionJob> { it.id }

    val all: List<PartitionJob> get() = byId.all

    operator fun get(id: String): PartitionJob? = byId[id]

    /**
     * Applies the state of [job] in the store replica. With [isUnreconciled], an earlier leader may have started the
     * tasks that are new in this partition: they are not started until reconciliation is complete.
     */
    fun update(job: Job, isUnreconciled: Boolean) {
        val record = job.record ?: return
        if (record.spec == null || job.terminalState != null) {
            get(job.id)?.let(::drop)
            return
        }
        // A job whose dependencies have not all completed is not queued and uses no resources.
        if (!job.isReady) return
        val partitionJob = get(job.id) ?: add(job, record) ?: return
        if (partitionJob.applyInheritedPriority()) trigger.requestFullPass()
        updateOwnedTasks(partitionJob, record, isUnreconciled)
    }

    /** Adds [job], or returns null if it has no tasks in this partition. */
    private fun add(job: Job, record: JobRecord): PartitionJob? {
        val spec = record.spec ?: return null
        if (record.spans.none { it.zone == zone }) return null
        val partitionJob = PartitionJob(job, spec, teams.index(spec.team))
        byId.add(partitionJob)
        return partitionJob
    }

    private fun updateOwnedTasks(partitionJob: PartitionJob, record: JobRecord, isUnreconciled: Boolean) {
        val owned = BitSet()
        record.spans.forEach { if (it.zone == zone) owned.set(it.from, it.until) }
        val added = (owned.clone() as BitSet).apply {
            andNot(partitionJob.owned)
            andNot(partitionJob.job.completedTasks)
        }
        val removed = (partitionJob.owned.clone() as BitSet).apply { andNot(owned) }
        partitionJob.owned.clear()
        partitionJob.owned.or(owned)
        partitionJob.pending.remove(removed)
        partitionJob.unreconciledTasks.andNot(removed)
        partitionJob.beingReassigned.andNot(removed)
        waitingWork.markChanged(partitionJob)
        if (added.isEmpty) return
        if (isUnreconciled) {
            partitionJob.unreconciledTasks.or(added)
            trigger.requestFullPass()
        } else {
            attempts.makePending(partitionJob, added, StartReason.NEVER_STARTED)
        }
    }

    /** Removes [job], which has ended: none of its tasks is started any more, and its attempts are stopped. */
    private fun drop(job: PartitionJob) {
        job.finish()
        waitingWork.markChanged(job)
        byId.remove(job.id)
        trigger.requestReordering()
        for (attempt in job.active.values.toList()) {
            // An attempt that is only booked has never been sent, so its resources are released immediately.
            if (attempt.phase == AttemptPhase.BOOKED) attempts.release(attempt) else attempt.requestStop()
        }
    }

    /**
     * Reserves pending tasks of [job], the last ones first, for reassignment to another partition: at most as many as
     * fit into [cores] if each takes [taskCores].
     */
    fun reserveForReassignment(job: PartitionJob, cores: Double, taskCores: Double): BitSet {
        val count = minOf(cores / taskCores, job.pendingCount.toDouble()).toInt()
        val reserved = job.pending.last(count)
        job.pending.remove(reserved)
        job.beingReassigned.or(reserved)
        waitingWork.markChanged(job)
        return reserved
    }

    /**
     * Ends the reservation of [tasks] once the outcome of the transaction that reassigns them is known: the tasks that
     * still belong to this partition become pending again.
     */
    fun completeReassignment(job: PartitionJob, tasks: BitSet) {
        val stillOwned = (tasks.clone() as BitSet).apply {
            and(job.owned)
            and(job.beingReassigned)
        }
        job.beingReassigned.andNot(tasks)
        if (job.finished || stillOwned.isEmpty) return
        attempts.makePending(job, stillOwned, StartReason.NOT_REASSIGNED)
    }

    /** Applies the completions of [job] that have become durable. */
    fun applyCompletions(job: Job) {
        val partitionJob = get(job.id) ?: return
        partitionJob.unrecordedCompletions.andNot(job.completedTasks)
        partitionJob.pending.remove(job.completedTasks)
        partitionJob.unreconciledTasks.andNot(job.completedTasks)
        waitingWork.markChanged(partitionJob)
    }

    /** Makes all unreconciled tasks pending, since no machine can hold one any more. Returns how many there were. */
    fun makeUnreconciledTasksPending(): Int {
        var count = 0
        for (job in all) {
            job.unreconciledTasks.andNot(job.job.completedTasks)
            val reconciled = job.unreconciledTasks.clone() as BitSet
            job.unreconciledTasks.clear()
            attempts.makePending(job, reconciled, StartReason.RECONCILED)
            count += reconciled.cardinality()
        }
        trigger.requestFullPass()
        return count
    }

    /** How many tasks of the job run here according to heartbeats. */
    fun runningTasks(jobId: String): Int = get(jobId)?.active?.values?.count {
        it.phase == AttemptPhase.RUNNING || it.phase == AttemptPhase.SAVING
    } ?: 0
}
