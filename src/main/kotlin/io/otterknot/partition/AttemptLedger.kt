package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.HeartbeatSpace
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.StartReason
import java.util.BitSet

/**
 * Books attempts on machines, jobs and teams, which reserves the resources of a task there, and releases these
 * resources when an attempt has exited or is not started after all.
 */
class AttemptLedger(
    private val fencingToken: Long,
    private val teams: TeamQuotaLedger,
    private val waitingWork: WaitingWork,
    private val trigger: PlacementTrigger,
    private val decisions: DecisionLog,
    private val invariants: InvariantMonitor,
) {
    private var issuedIds = 0L

    /**
     * Books the next pending task of [job] on [machine]; the next response to the machine carries the start command.
     */
    fun bookNextTask(job: PartitionJob, machine: Machine, now: Long): Attempt {
        val task = job.pending.first()
        val reason = job.pending.reasonOf(task)
        job.pending.remove(task)
        val attempt = book(Attempt(job, task, nextId(), machine, AttemptPhase.BOOKED, now))
        decisions.booked(attempt, reason)
        return attempt
    }

    /** Books an attempt that an earlier leader started and that [machine] reports with the id [attemptId]. */
    fun adopt(machine: Machine, job: PartitionJob, task: Int, attemptId: Long, now: Long): Attempt {
        job.pending.remove(task)
        job.unreconciledTasks.clear(task)
        return book(Attempt(job, task, attemptId, machine, AttemptPhase.SENT, now)).also(decisions::adopted)
    }

    /** Returns an id that no other leader has used and no earlier attempt has: it contains the fencing token. */
    private fun nextId(): Long = (fencingToken shl SEQUENCE_BITS) or ++issuedIds

    private fun book(attempt: Attempt): Attempt {
        val job = attempt.job
        val machine = attempt.machine
        val earlier = job.active.get(attempt.task)
        if (earlier != null) {
            invariants.violated("${attempt.name}#${attempt.id} booked while attempt ${earlier.id} is not given up")
        }
        machine.attempts.put(attempt.id, attempt)
        machine.resources.book(job.spec)
        job.active.put(attempt.task, attempt)
        teams.book(job.team, job.spec, equivalentCores(attempt))
        waitingWork.markChanged(job)
        return attempt
    }

    /**
     * Releases the resources of [attempt] without requeuing its task, which the caller does where needed. Does nothing
     * if the attempt has been released already.
     */
    fun release(attempt: Attempt) {
        if (attempt.phase == AttemptPhase.EXITED) return
        val wasSent = attempt.phase != AttemptPhase.BOOKED
        attempt.markExited()
        val job = attempt.job
        val machine = attempt.machine
        machine.attempts.remove(attempt.id)
        machine.resources.unbook(job.spec)
        if (attempt.stopping) machine.resources.beingFreed.subtract(job.spec)
        if (job.active.get(attempt.task) === attempt) job.active.remove(attempt.task)
        teams.unbook(job.team, job.spec, equivalentCores(attempt))
        if (wasSent) machine.resources.addUnbookedStatus(job.spec)
    }

    private fun equivalentCores(attempt: Attempt): Double =
        HeartbeatSpace.equivalentCores(attempt.job.spec, attempt.machine.type.cores)

    /** Makes [task] pending again if it still belongs to this partition and is not assigned to a machine. */
    fun requeue(job: PartitionJob, task: Int, reason: StartReason) {
        if (job.finished || !job.isUnassigned(task)) return
        if (!job.makePending(task, reason)) reportRefused(job, "$task", reason)
        pendingTasksAdded(job)
    }

    /** Makes [tasks] of [job] pending. [reason] is why no worker runs any of them. */
    fun makePending(job: PartitionJob, tasks: BitSet, reason: StartReason) {
        val refused = job.makePending(tasks, reason)
        if (!refused.isEmpty) reportRefused(job, "$refused", reason)
        pendingTasksAdded(job)
    }

    private fun reportRefused(job: PartitionJob, tasks: String, reason: StartReason) =
        invariants.violated("${job.id}/$tasks not pending although ${reason.logName}: may still be elsewhere")

    private fun pendingTasksAdded(job: PartitionJob) {
        waitingWork.markChanged(job)
        trigger.requestFullPass()
    }

    /**
     * Records that a machine reports [task] as completed. Until the completion is durable, the task is neither pending
     * nor complete.
     */
    fun recordCompletion(job: PartitionJob, task: Int) {
        job.unrecordedCompletions.set(task)
        job.pending.remove(task)
        job.unreconciledTasks.clear(task)
        waitingWork.markChanged(job)
    }

    /**
     * Stops [attempt]. One that is only booked has never been sent to its machine, so it is released and requeued
     * immediately; any other is halted by a command.
     */
    fun stop(attempt: Attempt) {
        if (attempt.phase == AttemptPhase.BOOKED) {
            giveUp(attempt, StartReason.NEVER_SENT)
        } else {
            attempt.requestStop()
        }
    }

    /** Releases and requeues [attempt], which no worker runs, for [reason]. */
    fun giveUp(attempt: Attempt, reason: StartReason) {
        decisions.givenUp(attempt, reason)
        release(attempt)
        requeue(attempt.job, attempt.task, reason)
    }

    /** Releases and requeues the attempts on [machine] whose start has never been sent. */
    fun releaseUnsent(machine: Machine) {
        machine.attempts.values.filter { it.phase == AttemptPhase.BOOKED }
            .forEach { giveUp(it, StartReason.NEVER_SENT) }
    }

    /** Releases and requeues all attempts on [machine], none of which its worker runs, for [reason]. */
    fun giveUpAll(machine: Machine, reason: StartReason) {
        for (attempt in machine.attempts.values.toList()) giveUp(attempt, reason)
    }

    private companion object {
        /**
         * The lower bits of an attempt's id count the attempts of one leadership; the upper bits are the fencing token.
         */
        const val SEQUENCE_BITS = 24
    }
}
