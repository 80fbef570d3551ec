package io.otterknot.scheduling

import io.otterknot.jobs.Job
import io.otterknot.wire.JobSpec
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import java.util.BitSet

/** The tasks of one job that belong to this partition. Each is in one of the sets, active, or done. */
class PartitionJob(val job: Job, described: JobSpec, val team: Int) {
    val id: String get() = job.id

    /** As its user describes it, but as urgent as the most urgent job that needs it. */
    var spec: JobSpec = described
        private set

    val submittedMs: Long = job.record?.submittedMs ?: 0

    /** Since when it waits: aims on waiting count from the end of the last job that it awaited. */
    val readyMs: Long = job.readyMs

    /** When it has to be complete for the sake of jobs that need it. */
    val inheritedDueMs: Long? get() = job.dependencies.inheritedDueMs

    /** Takes the priority that the jobs which need it lend it now; whether that is another than before. */
    fun applyInheritedPriority(): Boolean {
        val own = job.spec ?: return false
        val priority = minOf(own.priority, job.dependencies.inheritedPriority ?: own.priority)
        if (priority == spec.priority) return false
        spec = own.copy(priority = priority)
        return true
    }

    val owned = BitSet()

    /** May be started now. */
    val pending = BitSet()

    /** A machine that has not shown this owner's token yet may hold it. */
    val inDoubt = BitSet()

    /** Leaving for another partition in a transaction whose outcome is not known yet; never started here meanwhile. */
    val beingReassigned = BitSet()

    /** Reported as completed, not yet durable. */
    val unrecordedCompletions = BitSet()
    val active = Int2ObjectOpenHashMap<Attempt>()
    var finished = false
    var retryAtMs = 0L
    var failures = 0

    /** A task of it has run, as far as this partition knows. */
    var hasStarted = false
    val neverStarted: Boolean get() = !hasStarted && active.isEmpty() && job.completedTasks.isEmpty

    /**
     * It fits into its team's guarantee together with the team's more urgent and earlier jobs, so it need not wait for
     * other teams.
     */
    var covered = false
        private set

    /** Since when it has been so. */
    var coveredSinceMs = 0L
        private set

    /** Whether that is another answer than before. */
    fun markCovered(isCovered: Boolean, now: Long): Boolean {
        if (isCovered == covered) return false
        covered = isCovered
        coveredSinceMs = now
        return true
    }

    /** How long its tasks ran that completed in this partition. */
    val runs = RunTimes()

    val expectedRunMs: Double get() = runs.meanMs ?: (spec.estimateS * 1000)

    /** Tasks that were stopped once because they took far longer than the others. */
    val restarted = BitSet()

    /** What [SchedulingQueue] compares, as of its last look. */
    var missedObjectives = 0
    var rank = 0
    var workLeft = 0.0

    /** Where its tasks may go in the pass under way; null: not looked for yet. */
    var candidates: JobCandidates? = null

    /** Core-seconds left of the whole job, in all partitions, by its owner's estimate. */
    val remainingWork: Double get() = (spec.tasks - job.completedTasks.cardinality()) * spec.cores * spec.estimateS

    /**
     * Ours and on no machine that we know of, not completed and not leaving: it may wait here, if it is not in doubt.
     */
    fun isUnassigned(task: Int): Boolean = owned.get(
        task,
    ) && !beingReassigned.get(task) && !active.containsKey(task) && !unrecordedCompletions.get(task) &&
        !job.completedTasks.get(task)

    /** Every task of the job that is not done waits here, and none is on a machine or may be. */
    val allTasksPending: Boolean get() =
        active.isEmpty() && inDoubt.isEmpty && beingReassigned.isEmpty && unrecordedCompletions.isEmpty &&
            pending.cardinality() == spec.tasks - job.completedTasks.cardinality()

    val pendingCores: Double get() = (pendingCount + inDoubt.cardinality()) * spec.cores
    val pendingCount: Int get() = pending.cardinality()
}
