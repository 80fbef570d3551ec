package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.StartReason
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.TaskName
import io.otterknot.wire.TaskState
import io.otterknot.wire.TaskStatus

/**
 * Reconciles the attempts booked on a machine with those in its heartbeat. A heartbeat shows whether the commands of
 * the previous response were executed, since a worker has one heartbeat in flight and drops late responses.
 */
class HeartbeatReconciler(
    private val decisions: DecisionLog,
    private val attempts: AttemptLedger,
    private val jobs: PartitionJobs,
    private val exits: ExitReconciler,
    private val fetchTimes: FetchTimes,
) {
    /**
     * Applies the status of one task in a heartbeat. Returns the command to respond with, or null if none is needed.
     */
    fun reconcile(machine: Machine, status: TaskStatus, now: Long): HeartbeatCommand? {
        val booked = machine.attempts.get(status.attempt)
        if (booked != null && booked.phase == AttemptPhase.SENT) machine.clearLostResponses()
        val task = booked?.task ?: TaskName.parse(status.task).number
        val job = booked?.job ?: jobs[status.task.substringBefore('/')]
        val hasExited = status.state == TaskState.EXITED
        if (job == null || (job.finished && hasExited)) return endUnwanted(booked, status)
        if (hasExited) {
            return if (booked != null) exits.handle(booked, status, now) else exits.handle(machine, job, task, status)
        }
        val attempt = booked ?: adopt(machine, job, task, status, now) ?: return halt(status)
        attempt.shownBy(machine.lastSequence)
        updatePhase(attempt, status, now)
        return null
    }

    /** Ends an attempt whose job has ended or has no task in this partition. Returns a forget or a halt command. */
    private fun endUnwanted(booked: Attempt?, status: TaskStatus): HeartbeatCommand {
        if (booked != null) attempts.release(booked)
        val hasExited = status.state == TaskState.EXITED
        return if (hasExited) HeartbeatCommand.forget(status.task, status.attempt) else halt(status)
    }

    private fun halt(status: TaskStatus) = HeartbeatCommand.halt(status.task, status.attempt, 0.0)

    /** Books an attempt that an earlier leader started, or returns null if the task may not run here. */
    private fun adopt(machine: Machine, job: PartitionJob, task: Int, status: TaskStatus, now: Long): Attempt? {
        // A late heartbeat may show a task that has been requeued here since and is being reassigned to another
        // partition: if it were adopted, it would run in both partitions.
        if (job.isUnassigned(task)) return attempts.adopt(machine, job, task, status.attempt, now)
        decisions.rejected(machine, status)
        return null
    }

    private fun updatePhase(attempt: Attempt, status: TaskStatus, now: Long) {
        val phase = when (status.state) {
            TaskState.FETCHING -> AttemptPhase.FETCHING
            TaskState.SAVING -> AttemptPhase.SAVING
            else -> AttemptPhase.RUNNING
        }
        if (phase == attempt.phase) return
        val hasFetched = phase == AttemptPhase.RUNNING && attempt.phase == AttemptPhase.FETCHING
        if (hasFetched) fetchTimes.record(attempt.machine, attempt.job.spec, now - attempt.phaseSinceMs)
        attempt.machine.useImage(attempt.job.spec)
        attempt.enterPhase(phase, now)
    }

    /**
     * Requeues the tasks of attempts that were sent in the response to an earlier heartbeat and that the current one
     * does not show: the worker has not received that response, or drops it as late.
     */
    fun requeueUnshown(machine: Machine) {
        if (machine.attempts.isEmpty()) return
        var isResponseLost = false
        for (attempt in machine.attempts.values.toList()) {
            val isShown = attempt.lastShownSequence == machine.lastSequence
            if (isShown || attempt.phase == AttemptPhase.BOOKED) continue
            if (attempt.phase == AttemptPhase.SENT) isResponseLost = true
            attempts.giveUp(attempt, StartReason.ABSENT_FROM_HEARTBEAT)
        }
        if (isResponseLost) machine.responsesLost(1)
    }

    /**
     * Stops the attempts on a spot instance that are not expected to end before the cloud revokes it in [noticeS]
     * seconds, so that they are restarted elsewhere immediately. Waiting for the loss of the machine would delay them
     * by the notice time as well, and a deadline leaves little more than that.
     */
    fun stopBeforeRevocation(machine: Machine, noticeS: Double, now: Long) {
        for (attempt in machine.attempts.values.toList()) {
            if (attempt.phase == AttemptPhase.BOOKED) {
                attempts.stop(attempt)
            } else if (attempt.phase != AttemptPhase.SAVING && attempt.expectedRemainingMs(now) > noticeS * MS_PER_S) {
                attempt.requestStop()
            }
        }
    }

    private companion object {
        const val MS_PER_S = 1000
    }
}
