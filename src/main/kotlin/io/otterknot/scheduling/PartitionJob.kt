package io.otterknot.scheduling

import io.otterknot.jobs.Job
import io.otterknot.wire.JobSpec
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import java.util.BitSet

/**
 * The tasks of one job that belong to this partition. Each of [owned] is in one of [pending], [unreconciledTasks],
 * [beingReassigned], [unrecordedCompletions] and [active], or done.
 *
 * The sets are read where they are needed, also by other packages; only the partition's job list and attempt ledger
 * change them. [team] is the index of the job's team; -1: the settings name no such team.
 */
class PartitionJob(val job: Job, submitted: JobSpec, val team: Int) {
    val id: String get() = job.id

    /** As its user submitted it, but with the priority of the most urgent job that depends on it. */
    var spec: JobSpec = submitted
        private set

    val submittedMs: Long = job.record?.submittedMs ?: 0

    /** Since when it could run, by the time of day: objectives on waiting count from the end of its last dependency. */
    val readyMs: Long = job.readyMs

    /** When it has to be complete for the sake of jobs that depend on it, by the time of day; null: none has to. */
    val inheritedDueMs: Long? get() = job.dependencies.inheritedDueMs

    // Tasks, by what is known of them.

    val owned = BitSet()

    /** May be started now. */
    val pending = BitSet()

    /** A machine that has not shown this leader's fencing token yet may hold it. */
    val unreconciledTasks = BitSet()

    /** Leaving for another partition in a transaction whose outcome is not known yet; never started here meanwhile. */
    val beingReassigned = BitSet()

    /** Reported as completed, not yet durable. */
    val unrecordedCompletions = BitSet()

    /** The attempt that occupies a machine, by task. */
    val active = Int2ObjectOpenHashMap<Attempt>()

    /** Tasks that were stopped once because they took far longer than the others. */
    val restarted = BitSet()

    val pendingCount: Int get() = pending.cardinality()
    val pendingCores: Double get() = (pendingCount + unreconciledTasks.cardinality()) * spec.cores

    /** The job is over; what still occupies machines here is being stopped. */
    var finished = false
        private set

    // Failures.

    private var failures = 0

    /** No task of it is started before, since too many have failed. */
    var retryAtMs = 0L
        private set

    // Run times.

    /** How long its tasks ran that completed in this partition. */
    val runs = RunTimes()
    val expectedRunMs: Double get() = runs.meanMs ?: (spec.estimateS * MS_PER_S)

    private var hasStarted = false

    /** No task of it has run or is placed, as far as this partition knows. */
    val neverStarted: Boolean get() = !hasStarted && active.isEmpty() && job.completedTasks.isEmpty

    // Its team's guaranteed quota.

    /**
     * It fits into its team's guaranteed quota together with the team's more urgent and earlier jobs, so it need not wait for
     * other teams.
     */
    var covered = false
        private set

    /** Since when [covered] has had this value. */
    var coveredSinceMs = 0L
        private set

    // What SchedulingQueue sorts by, as of its last sort: kept here since it sorts often.

    /** How many of its objectives it had missed. */
    var missedObjectives = 0
        private set

    /** Its place by its objectives; see [SchedulingQueue]. */
    var objectiveRank = 0
        private set

    /** Core-seconds left of the whole job, in all partitions, by its user's estimate. */
    var remainingCoreSeconds = 0.0
        private set

    /** Where its tasks may be placed in the scheduling pass under way; null: not determined yet. */
    var candidates: JobCandidates? = null

    /** Takes the priority that jobs which depend on it lend it now; whether that is another than before. */
    fun applyInheritedPriority(): Boolean {
        val submitted = job.spec ?: return false
        val priority = minOf(submitted.priority, job.dependencies.inheritedPriority ?: submitted.priority)
        if (priority == spec.priority) return false
        spec = submitted.copy(priority = priority)
        return true
    }

    /** The job is over: nothing of it is started any more. */
    fun finish() {
        finished = true
        pending.clear()
        unreconciledTasks.clear()
    }

    fun markStarted() {
        hasStarted = true
    }

    /** Counts a failed attempt; how many there are now. */
    fun attemptFailed(): Int = ++failures

    /** Too many attempts have failed: none is started before [untilMs]. */
    fun delayRetry(untilMs: Long) {
        retryAtMs = untilMs
    }

    /** Whether [isCovered] is another answer than before. */
    fun markCovered(isCovered: Boolean, now: Long): Boolean {
        if (isCovered == covered) return false
        covered = isCovered
        coveredSinceMs = now
        return true
    }

    /** For [SchedulingQueue], before it sorts. */
    fun updateSortKeys(missedObjectives: Int, objectiveRank: Int) {
        this.missedObjectives = missedObjectives
        this.objectiveRank = objectiveRank
        remainingCoreSeconds = (spec.tasks - job.completedTasks.cardinality()) * spec.cores * spec.estimateS
    }

    /** It belongs here and is not done, leaving, or on a machine as far as is known: pending unless unreconciled. */
    fun isUnassigned(task: Int): Boolean = owned.get(task) &&
        !beingReassigned.get(task) &&
        !active.containsKey(task) &&
        !unrecordedCompletions.get(task) &&
        !job.completedTasks.get(task)

    /** Every task of the job that is not done is pending here, and none is on a machine or may be. */
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
