package io.otterknot.scheduling

import io.otterknot.jobs.Job
import io.otterknot.wire.JobSpec
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import java.util.BitSet

/**
 * The tasks of one job that belong to this partition. Each task of [owned] is either completed or in one of
 * [pending], [unreconciledTasks], [beingReassigned], [unrecordedCompletions] and [active].
 *
 * Other packages may read the sets; only the partition's `PartitionJobs` and `AttemptLedger` modify them, and its
 * `StragglerDetector` modifies [restarted]. [team] is the index of the job's team, or -1 if the settings do not name
 * the team.
 */
class PartitionJob(val job: Job, submitted: JobSpec, val team: Int) {
    val id: String get() = job.id

    /** The submitted specification, with the priority of the most urgent dependent job if that is higher. */
    var spec: JobSpec = submitted
        private set

    val submittedMs: Long = job.record?.submittedMs ?: 0

    /**
     * The wall-clock time from which the job could run: its submission or the end of its last dependency, whichever is
     * later. Objectives on waiting time are measured from it.
     */
    val readyMs: Long = job.readyMs

    /**
     * The wall-clock time by which the job has to be complete so that dependent jobs can meet their deadlines, or null
     * if none of them has a deadline.
     */
    val inheritedDueMs: Long? get() = job.dependencies.inheritedDueMs

    // Tasks by state.

    val owned = BitSet()

    /** Tasks that may be started now. Only [makePending] adds any. */
    val pending = PendingTasks()

    /** Unreconciled tasks: a machine that has not yet reported this leader's fencing token may run them. */
    val unreconciledTasks = BitSet()

    /**
     * Tasks being reassigned to another partition by a transaction whose outcome is not known yet. They are not started
     * here until it is known.
     */
    val beingReassigned = BitSet()

    /** Tasks reported as completed whose completion is not yet durable. */
    val unrecordedCompletions = BitSet()

    /** The attempts that occupy a machine, by task. */
    val active = Int2ObjectOpenHashMap<Attempt>()

    /** Tasks that were stopped and restarted once as stragglers. */
    val restarted = BitSet()

    val pendingCount: Int get() = pending.count

    /** The number of the pending and the unreconciled tasks. */
    val waitingCount: Int get() = pendingCount + unreconciledTasks.cardinality()

    /** Whether the job is in a terminal state. Its attempts that still occupy machines here are being stopped. */
    var finished = false
        private set

    // Failures.

    private var failures = 0

    /** The time before which no task is started (retry backoff), since too many attempts have failed. */
    var retryAtMs = 0L
        private set

    // Run times.

    /** The run times of the job's tasks that completed in this partition. */
    val runs = RunTimes()
    val expectedRunMs: Double get() = runs.meanMs ?: (spec.estimateS * MS_PER_S)

    private var hasStarted = false

    /** Whether no task of the job has run or is placed, as far as this partition has observed. */
    val neverStarted: Boolean get() = !hasStarted && active.isEmpty() && job.completedTasks.isEmpty

    // Guaranteed quota of the team.

    /**
     * Whether the job is within its team's guaranteed quota: it fits into the quota together with the team's more
     * urgent and earlier jobs. It then does not wait for jobs of other teams.
     */
    var isWithinGuarantee = false
        private set

    /** When [isWithinGuarantee] last changed. */
    var guaranteeStatusSinceMs = 0L
        private set

    // Sort keys as of the last sort of SchedulingQueue, stored here because it sorts often.

    /** The number of the job's objectives that it had missed. */
    var missedObjectives = 0
        private set

    /** The rank of the job by its objectives, lower first; see [SchedulingQueue]. */
    var objectiveRank = 0
        private set

    /** The remaining core-seconds of the whole job, in all partitions, from the user's estimate. */
    var remainingCoreSeconds = 0.0
        private set

    /** The machines for the job's tasks in the current scheduling pass, or null if they are not determined yet. */
    var candidates: JobCandidates? = null

    /** Applies the priority that the job now inherits from dependent jobs. Returns whether [spec] has changed. */
    fun applyInheritedPriority(): Boolean {
        val submitted = job.spec ?: return false
        val priority = minOf(submitted.priority, job.dependencies.inheritedPriority ?: submitted.priority)
        if (priority == spec.priority) return false
        spec = submitted.copy(priority = priority)
        return true
    }

    /** Marks the job as being in a terminal state, so that none of its tasks is started any more. */
    fun finish() {
        finished = true
        pending.clear()
        unreconciledTasks.clear()
    }

    fun markStarted() {
        hasStarted = true
    }

    /** Counts a failed attempt and returns the number of failed attempts so far. */
    fun attemptFailed(): Int = ++failures

    /** Delays the start of further attempts until [untilMs], since too many have failed. */
    fun delayRetry(untilMs: Long) {
        retryAtMs = untilMs
    }

    /** Sets whether the job is within its team's guaranteed quota. Returns whether that has changed. */
    fun markWithinGuarantee(withinGuarantee: Boolean, now: Long): Boolean {
        if (withinGuarantee == isWithinGuarantee) return false
        isWithinGuarantee = withinGuarantee
        guaranteeStatusSinceMs = now
        return true
    }

    /** Updates the sort keys; called by [SchedulingQueue] before it sorts. */
    fun updateSortKeys(missedObjectives: Int, objectiveRank: Int) {
        this.missedObjectives = missedObjectives
        this.objectiveRank = objectiveRank
        remainingCoreSeconds = (spec.tasks - job.completedTasks.cardinality()) * spec.cores * spec.estimateS
    }

    /**
     * Makes [tasks] pending: no worker runs an attempt of any of them, for [reason]. Returns those that are refused
     * because by the state of this job a worker or another partition may have them.
     */
    fun makePending(tasks: BitSet, reason: StartReason): BitSet {
        val refused = BitSet()
        var task = tasks.nextSetBit(0)
        while (task >= 0) {
            if (mayBeElsewhere(task)) refused.set(task)
            task = tasks.nextSetBit(task + 1)
        }
        pending.add((tasks.clone() as BitSet).apply { andNot(refused) }, reason)
        return refused
    }

    /** Like [makePending] for several tasks. Returns whether [task] was not refused. */
    fun makePending(task: Int, reason: StartReason): Boolean {
        if (mayBeElsewhere(task)) return false
        pending.add(task, reason)
        return true
    }

    /** Whether a worker or another partition may have [task]. */
    private fun mayBeElsewhere(task: Int): Boolean = !owned.get(task) ||
        unreconciledTasks.get(task) ||
        beingReassigned.get(task) ||
        active.containsKey(task)

    /**
     * Whether [task] belongs to this partition and is neither completed nor being reassigned nor known to be on a
     * machine. Such a task is pending unless it is unreconciled.
     */
    fun isUnassigned(task: Int): Boolean = owned.get(task) &&
        !beingReassigned.get(task) &&
        !active.containsKey(task) &&
        !unrecordedCompletions.get(task) &&
        !job.completedTasks.get(task)

    /** Whether all incomplete tasks of the job are pending here and no machine runs or may run any of them. */
    val allTasksPending: Boolean
        get() = active.isEmpty() &&
            unreconciledTasks.isEmpty &&
            beingReassigned.isEmpty &&
            unrecordedCompletions.isEmpty &&
            pendingCount == spec.tasks - job.completedTasks.cardinality()

    private companion object {
        const val MS_PER_S = 1000
    }
}
