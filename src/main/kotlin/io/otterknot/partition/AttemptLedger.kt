package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob

/**
 * Books attempts on machines, jobs and teams, and takes them off again. [onWaiting] is told when a task waits once more.
 */
class AttemptLedger(
    private val token: Long,
    private val teams: TeamQuotaLedger,
    private val waitingWork: WaitingWork,
    private val onWaiting: () -> Unit,
) {
    private var count = 0L

    /** Unlike any attempt of another owner or an earlier start: the token is in it. */
    fun nextId(): Long = (token shl ATTEMPT_BITS) or ++count

    /** [held] is the job whose [task] the attempt runs. */
    fun book(machine: Machine, held: PartitionJob, task: Int, id: Long, phase: AttemptPhase, now: Long): Attempt {
        val attempt = Attempt(held, task, id, machine, phase, now)
        machine.attempts.put(id, attempt)
        machine.book(held.spec)
        held.active.put(task, attempt)
        teams.book(held.team, held.spec)
        waitingWork.touch(held)
        return attempt
    }

    /** The attempt holds nothing any more; what becomes of the task is the caller's matter. */
    fun release(attempt: Attempt) {
        if (attempt.phase == AttemptPhase.EXITED) return
        attempt.phase = AttemptPhase.EXITED
        val held = attempt.job
        val machine = attempt.machine
        machine.attempts.remove(attempt.id)
        machine.unbook(held.spec)
        if (attempt.stopping) machine.beingFreed.add(held.spec, -1)
        if (held.active.get(attempt.task) === attempt) held.active.remove(attempt.task)
        teams.unbook(held.team, held.spec)
    }

    /** The task waits again, if it still belongs here and is nowhere. */
    fun requeue(job: PartitionJob, task: Int) {
        if (job.finished || !job.isUnassigned(task)) return
        job.pending.set(task)
        waitingWork.touch(job)
        onWaiting()
    }

    /** Which tasks of [job] wait has changed without an attempt being booked or requeued. */
    fun waitingChanged(job: PartitionJob) = waitingWork.touch(job)

    fun requeue(attempt: Attempt) = requeue(attempt.job, attempt.task)

    /** What was only booked has never been sent, so it is free at once; the rest is told to stop. */
    fun stop(attempt: Attempt) {
        if (attempt.phase != AttemptPhase.BOOKED) {
            attempt.requestStop()
            return
        }
        release(attempt)
        requeue(attempt)
    }

    /** Nothing of what [machine] held is there any more. */
    fun releaseAll(machine: Machine) {
        for (attempt in machine.attempts.values.toList()) {
            release(attempt)
            requeue(attempt)
        }
    }

    private companion object {
        const val ATTEMPT_BITS = 24
    }
}
