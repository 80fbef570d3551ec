package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob

/** Books attempts on machines, jobs and teams, and releases what they hold. */
class AttemptLedger(
    private val fencingToken: Long,
    private val teams: TeamQuotaLedger,
    private val waitingWork: WaitingWork,
    private val trigger: PlacementTrigger,
) {
    private var issuedIds = 0L

    /** Books the next pending task of [job] on [machine]; its start goes out with the machine's next response. */
    fun bookNextTask(job: PartitionJob, machine: Machine, now: Long): Attempt {
        val task = job.pending.nextSetBit(0)
        job.pending.clear(task)
        return book(Attempt(job, task, nextId(), machine, AttemptPhase.BOOKED, now))
    }

    /** Books an attempt that an earlier leader started, and which [machine] shows under the id [attemptId]. */
    fun adopt(machine: Machine, job: PartitionJob, task: Int, attemptId: Long, now: Long): Attempt {
        job.pending.clear(task)
        job.inDoubt.clear(task)
        return book(Attempt(job, task, attemptId, machine, AttemptPhase.SENT, now))
    }

    /** Unlike the id of any attempt of another leader or an earlier start: the fencing token is in it. */
    private fun nextId(): Long = (fencingToken shl SEQUENCE_BITS) or ++issuedIds

    private fun book(attempt: Attempt): Attempt {
        val job = attempt.job
        val machine = attempt.machine
        machine.attempts.put(attempt.id, attempt)
        machine.book(job.spec)
        job.active.put(attempt.task, attempt)
        teams.book(job.team, job.spec)
        waitingWork.touch(job)
        return attempt
    }

    /** Frees what the attempt holds; the caller decides what becomes of its task. Once released, nothing happens. */
    fun release(attempt: Attempt) {
        if (attempt.phase == AttemptPhase.EXITED) return
        attempt.markExited()
        val job = attempt.job
        val machine = attempt.machine
        machine.attempts.remove(attempt.id)
        machine.unbook(job.spec)
        if (attempt.stopping) machine.beingFreed.subtract(job.spec)
        if (job.active.get(attempt.task) === attempt) job.active.remove(attempt.task)
        teams.unbook(job.team, job.spec)
    }

    /** The task is pending again if it still belongs here and is on no machine. */
    fun requeue(job: PartitionJob, task: Int) {
        if (job.finished || !job.isUnassigned(task)) return
        job.pending.set(task)
        waitingWork.touch(job)
        trigger.requestFullPass()
    }

    fun requeue(attempt: Attempt) = requeue(attempt.job, attempt.task)

    /** A machine shows that [task] has completed; until that is durable, the task neither waits nor counts as done. */
    fun recordCompletion(job: PartitionJob, task: Int) {
        job.unrecordedCompletions.set(task)
        job.pending.clear(task)
        job.inDoubt.clear(task)
        waitingWork.touch(job)
    }

    /** Stops the attempt: what was only booked has never been sent, so it is free at once; the rest is halted. */
    fun stop(attempt: Attempt) {
        if (attempt.phase == AttemptPhase.BOOKED) releaseAndRequeue(attempt) else attempt.requestStop()
    }

    fun releaseAndRequeue(attempt: Attempt) {
        release(attempt)
        requeue(attempt)
    }

    /** Nothing of what was on [machine] is there any more. */
    fun releaseAll(machine: Machine) {
        for (attempt in machine.attempts.values.toList()) releaseAndRequeue(attempt)
    }

    private companion object {
        /** The lower bits of an attempt's id count the attempts of one leadership; the fencing token is above them. */
        const val SEQUENCE_BITS = 24
    }
}
