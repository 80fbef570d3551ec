package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.TaskName
import io.otterknot.wire.TaskState
import io.otterknot.wire.TaskStatus
import org.slf4j.LoggerFactory

/**
 * Brings what is booked on a machine in line with what its heartbeat shows. A heartbeat shows what came of the commands
 * in the response before, since a worker has one heartbeat in flight and drops late responses.
 */
class HeartbeatReconciler(
    private val zone: String,
    private val attempts: AttemptLedger,
    private val jobs: JobBook,
    private val exits: ExitReconciler,
    private val fetchTimes: FetchTimes,
) {
    private val log = LoggerFactory.getLogger(HeartbeatReconciler::class.java)

    /** Applies what a heartbeat shows of one task; the command to respond with, or null: none is needed. */
    fun reconcile(machine: Machine, status: TaskStatus, now: Long): HeartbeatCommand? {
        val booked = machine.attempts.get(status.attempt)
        if (booked != null && booked.phase == AttemptPhase.SENT) machine.clearLostResponses()
        val task = booked?.task ?: TaskName.parse(status.task).number
        val job = booked?.job ?: jobs[status.task.substringBefore('/')]
        val hasExited = status.state == TaskState.EXITED
        if (job == null || (job.finished && hasExited)) return endUnwanted(booked, status)
        if (hasExited) {
            return if (booked != null) exits.booked(booked, status, now) else exits.unbooked(machine, job, task, status)
        }
        val attempt = booked ?: adopt(machine, job, task, status, now) ?: return halt(status)
        attempt.shownBy(machine.lastSequence)
        updatePhase(attempt, status, now)
        return null
    }

    /** The job has ended, or its task does not belong to this partition. */
    private fun endUnwanted(booked: Attempt?, status: TaskStatus): HeartbeatCommand {
        if (booked != null) attempts.release(booked)
        val hasExited = status.state == TaskState.EXITED
        return if (hasExited) HeartbeatCommand.forget(status.task, status.attempt) else halt(status)
    }

    private fun halt(status: TaskStatus) = HeartbeatCommand.halt(status.task, status.attempt, 0.0)

    /** Books what an earlier leader started; null: the task may not run here. */
    private fun adopt(machine: Machine, job: PartitionJob, task: Int, status: TaskStatus, now: Long): Attempt? {
        // A late heartbeat may show a task that was requeued here long ago and is being reassigned to another
        // partition: adopted, it would run in both.
        if (job.isUnassigned(task)) return attempts.adopt(machine, job, task, status.attempt, now)
        log.warn(
            "partition={} machine={} task={} attempt={} attempt rejected, its task is not free to run here",
            zone,
            machine.id,
            status.task,
            status.attempt,
        )
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
     * Requeues what was sent in the response to an earlier heartbeat and is not shown: the worker dropped that
     * response, and always will.
     */
    fun requeueUnshown(machine: Machine) {
        if (machine.attempts.isEmpty()) return
        var isResponseLost = false
        for (attempt in machine.attempts.values.toList()) {
            val isShown = attempt.lastShownSequence == machine.lastSequence
            if (isShown || attempt.phase == AttemptPhase.BOOKED) continue
            if (attempt.phase == AttemptPhase.SENT) isResponseLost = true
            attempts.releaseAndRequeue(attempt)
        }
        if (isResponseLost) machine.responsesLost(1)
    }

    /**
     * The cloud takes the spot instance in [noticeS] seconds. What cannot end before that begins elsewhere at once:
     * waiting for its loss would cost it the time of the notice besides, and a deadline leaves little more than that.
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
