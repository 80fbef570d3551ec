package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.StartReason
import io.otterknot.wire.ExitCause
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.TaskStatus
import org.slf4j.LoggerFactory

/** Applies the exits of attempts that heartbeats report. */
class ExitReconciler(
    private val zone: String,
    private val attempts: AttemptLedger,
    private val stragglers: StragglerDetector,
) {
    private val log = LoggerFactory.getLogger(ExitReconciler::class.java)

    /**
     * Applies the exit of [attempt], which is booked here. Returns the command to respond with, or null if none is due.
     */
    fun handle(attempt: Attempt, status: TaskStatus, now: Long): HeartbeatCommand? {
        attempts.release(attempt)
        if (status.cause == ExitCause.DONE) {
            val command = complete(attempt.machine, attempt.job, attempt.task, status)
            stragglers.completed(attempt.machine, attempt, now)
            return command
        }
        when (status.cause) {
            ExitCause.ERROR -> recordFailure(attempt.machine, attempt.job, now)
            ExitCause.STOPPED -> Unit
            else -> logUnexpectedExit(attempt.machine, status)
        }
        attempts.requeue(attempt.job, attempt.task, StartReason.EXIT_REPORTED)
        return forget(status)
    }

    /**
     * Applies the exit of an attempt at [task] of [job] that is not booked here. Returns the command to respond with,
     * or null if none is due.
     */
    fun handle(machine: Machine, job: PartitionJob, task: Int, status: TaskStatus): HeartbeatCommand? {
        if (status.cause == ExitCause.DONE) return complete(machine, job, task, status)
        if (!job.unreconciledTasks.get(task)) attempts.requeue(job, task, StartReason.EXIT_REPORTED)
        return forget(status)
    }

    /**
     * Applies a completion. Returns null until it is durable, and a forget command from then on: until then the
     * machine's heartbeats are the only record of it.
     */
    private fun complete(machine: Machine, job: PartitionJob, task: Int, status: TaskStatus): HeartbeatCommand? {
        machine.attemptCompleted()
        if (job.job.completedTasks.get(task)) return forget(status)
        if (job.owned.get(task)) attempts.recordCompletion(job, task)
        return null
    }

    private fun forget(status: TaskStatus) = HeartbeatCommand.forget(status.task, status.attempt)

    private fun recordFailure(machine: Machine, job: PartitionJob, now: Long) {
        val failures = job.attemptFailed()
        machine.attemptFailed(job, now)
        if (isFaulty(machine, job)) machine.quarantine()
        if (failures > MAX_FAILURES_WITHOUT_DELAY) job.delayRetry(now + retryDelayMs(failures))
    }

    /**
     * Whether [machine] is faulty: attempts on it fail several times in a row, and either several jobs fail on it or
     * [job] has completed tasks, so that it does not fail everywhere. A job that fails on every machine is no evidence
     * against a machine; its retries are delayed, so that it does not keep all machines busy.
     */
    private fun isFaulty(machine: Machine, job: PartitionJob): Boolean {
        if (machine.consecutiveFailures < MIN_FAILURES_OF_FAULTY_MACHINE) return false
        return machine.failedJobCount >= MIN_FAILED_JOBS_OF_FAULTY_MACHINE || !job.job.completedTasks.isEmpty
    }

    private fun retryDelayMs(failures: Int): Long =
        minOf(MAX_RETRY_DELAY_MS, RETRY_DELAY_UNIT_MS shl minOf(failures, MAX_RETRY_DOUBLINGS))

    private fun logUnexpectedExit(machine: Machine, status: TaskStatus) {
        log.warn(
            "partition={} machine={} task={} cause={} attempt exited unexpectedly, task requeued",
            zone,
            machine.id,
            status.task,
            status.cause?.wireName,
        )
    }

    private companion object {
        /** Consecutive failures, without a completion in between. */
        const val MIN_FAILURES_OF_FAULTY_MACHINE = 3
        const val MIN_FAILED_JOBS_OF_FAULTY_MACHINE = 2
        const val MAX_FAILURES_WITHOUT_DELAY = 3
        const val RETRY_DELAY_UNIT_MS = 500L
        const val MAX_RETRY_DOUBLINGS = 10
        const val MAX_RETRY_DELAY_MS = 30_000L
    }
}
