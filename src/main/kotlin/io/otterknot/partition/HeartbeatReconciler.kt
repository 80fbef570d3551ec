package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.wire.ExitCause
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.TaskName
import io.otterknot.wire.TaskState
import io.otterknot.wire.TaskStatus
import org.slf4j.LoggerFactory

/**
 * Brings what is booked on a machine in line with what its report shows, and says what to answer. A report shows what
 * came of the commands of the answer before, since a worker has one report in flight and drops late answers.
 */
class HeartbeatReconciler(
    private val zone: String,
    private val attempts: AttemptLedger,
    private val job: (id: String) -> PartitionJob?,
    private val slowTasks: StragglerDetector,
    private val fetchTimes: FetchTimes = FetchTimes(),
) {
    private val log = LoggerFactory.getLogger(HeartbeatReconciler::class.java)

    /** Takes what a report says of one task, and adds what to answer. */
    fun reconcile(machine: Machine, entry: TaskStatus, seq: Long, now: Long, commands: MutableList<HeartbeatCommand>) {
        val exited = entry.state == TaskState.EXITED
        val known = machine.attempts.get(entry.attempt)
        if (known != null && known.phase == AttemptPhase.SENT) machine.lostResponses = 0
        val number = known?.task ?: TaskName.parse(entry.task).number
        val held = known?.job ?: job(entry.task.substringBefore('/'))
        if (held == null || (held.finished && exited)) {
            // The job is over, or its task is none of ours.
            known?.let(attempts::release)
            val command = if (exited) {
                HeartbeatCommand.forget(entry.task, entry.attempt)
            } else {
                HeartbeatCommand.halt(entry.task, entry.attempt, graceS = 0.0)
            }
            commands.add(command)
            return
        }
        if (exited) {
            known?.let(attempts::release)
            exited(machine, held, number, entry, known, now, commands)
            return
        }
        val attempt = known ?: adopt(machine, held, number, entry, now)
        if (attempt == null) {
            commands.add(HeartbeatCommand.halt(entry.task, entry.attempt, 0.0))
            return
        }
        attempt.lastShownSequence = seq
        val phase = when (entry.state) {
            TaskState.FETCHING -> AttemptPhase.FETCHING
            TaskState.SAVING -> AttemptPhase.SAVING
            else -> AttemptPhase.RUNNING
        }
        if (phase != attempt.phase) {
            if (phase == AttemptPhase.RUNNING) {
                // Only of a task that was seen to fetch or to be sent is it known how long it has run.
                attempt.seenRunning = attempt.phase != AttemptPhase.SENT || attempt.startSent
                if (attempt.phase ==
                    AttemptPhase.FETCHING
                ) {
                    fetchTimes.fetched(machine, held.spec, now - attempt.phaseSinceMs)
                }
                attempt.phaseSinceMs = now
                held.hasStarted = true
            }
            if (phase == AttemptPhase.SAVING) attempt.savingSinceMs = now
            machine.useImage(held.spec)
            attempt.phase = phase
        }
    }

    private fun exited(
        machine: Machine,
        held: PartitionJob,
        task: Int,
        entry: TaskStatus,
        known: Attempt?,
        now: Long,
        commands: MutableList<HeartbeatCommand>,
    ) {
        if (entry.cause == ExitCause.DONE) {
            // `forget` only once the completion is durable: until then this report is the only trace of it.
            if (held.job.done.get(task)) {
                commands.add(HeartbeatCommand.forget(entry.task, entry.attempt))
            } else if (held.owned.get(task)) {
                held.unrecordedCompletions.set(task)
                held.pending.clear(task)
                held.inDoubt.clear(task)
                attempts.waitingChanged(held)
            }
            machine.failedJobs.clear()
            machine.failures = 0
            if (known != null) slowTasks.completed(machine, known, now)
            return
        }
        commands.add(HeartbeatCommand.forget(entry.task, entry.attempt))
        if (entry.cause == ExitCause.ERROR && known != null) {
            held.failures++
            // Not for ever: this may be the only machine that the job is allowed on, and sound after all.
            machine.avoid(held, now)
            machine.failures++
            // A machine is faulty if several jobs fail on it, or one that completes elsewhere does again and again; a
            // job that fails everywhere says nothing of machines, but must not keep them all busy.
            val others = machine.failedJobs.size >= 2
            if (machine.failures >= FAULTY && (others || !held.job.done.isEmpty)) machine.draining = true
            if (held.failures > 3) held.retryAtMs = now + minOf(30_000L, 500L shl minOf(held.failures, 10))
        }
        if (known != null) {
            if (entry.cause != ExitCause.ERROR && entry.cause != ExitCause.STOPPED) {
                log.warn("{}: {} on {} ended: {}", zone, entry.task, machine.id, entry.cause?.wireName)
            }
            attempts.requeue(known)
        } else if (held.isUnassigned(task) && !held.inDoubt.get(task)) {
            attempts.requeue(held, task)
        }
    }

    /** A machine shows a task that an earlier owner started. */
    private fun adopt(machine: Machine, held: PartitionJob, task: Int, entry: TaskStatus, now: Long): Attempt? {
        // A report that was held back may show a task that has long been given up here and is leaving for another
        // partition: taken back, it would start in both.
        if (!held.isUnassigned(task)) {
            log.warn(
                "{}: {} shows {} (attempt {}), which it should not hold",
                zone,
                machine.id,
                entry.task,
                entry.attempt,
            )
            return null
        }
        held.pending.clear(task)
        held.inDoubt.clear(task)
        return attempts.book(machine, held, task, entry.attempt, AttemptPhase.SENT, now)
    }

    /**
     * What was sent in the answer to an earlier report and is not here: the worker dropped that answer, and always
     * will.
     */
    fun compareSent(machine: Machine) {
        var lost = false
        if (machine.attempts.isNotEmpty()) {
            for (attempt in machine.attempts.values.toList()) {
                if (attempt.lastShownSequence == machine.lastSequence || attempt.phase == AttemptPhase.BOOKED) continue
                lost = lost || attempt.phase == AttemptPhase.SENT
                attempts.release(attempt)
                attempts.requeue(attempt)
            }
        }
        if (lost) machine.lostResponses++
    }

    /**
     * The cloud takes the machine in [noticeS]. What cannot end before that begins elsewhere at once: waiting for its
     * loss would cost it the time of the notice besides, and a deadline leaves little more than that.
     */
    fun leave(machine: Machine, noticeS: Double, now: Long) {
        for (attempt in machine.attempts.values.toList()) {
            if (attempt.phase == AttemptPhase.BOOKED) {
                attempts.stop(attempt)
            } else if (attempt.phase != AttemptPhase.SAVING && attempt.expectedRemainingMs(now) > noticeS * 1000) {
                attempt.requestStop()
            }
        }
    }

    /** Adds the starts and stops that are due. */
    fun addCommands(machine: Machine, now: Long, commands: MutableList<HeartbeatCommand>) {
        for (attempt in machine.attempts.values) {
            when {
                attempt.stopping && attempt.phase != AttemptPhase.BOOKED -> halt(attempt, now)?.let(commands::add)

                attempt.phase == AttemptPhase.BOOKED -> {
                    attempt.phase = AttemptPhase.SENT
                    attempt.startSent = true
                    attempt.phaseSinceMs = now
                    commands.add(HeartbeatCommand.start(attempt.name, attempt.id))
                }
            }
        }
    }

    /**
     * The stop of an attempt, which is repeated until it has exited; null: it saves its progress, which a second stop
     * would cut short.
     */
    private fun halt(attempt: Attempt, now: Long): HeartbeatCommand? {
        val spec = attempt.job.spec
        if (spec.checkpointS <= 0 || attempt.job.finished) return HeartbeatCommand.halt(attempt.name, attempt.id, 0.0)
        val savingSince = attempt.savingSinceMs ?: return HeartbeatCommand.halt(attempt.name, attempt.id, spec.saveS)
        val savesTooLong = now - savingSince > spec.saveS * 1000 * LONGEST_SAVE + SAVE_MARGIN_MS
        return if (savesTooLong) HeartbeatCommand.halt(attempt.name, attempt.id, 0.0) else null
    }

    private companion object {
        /** A task that saves for so many times as long as its user says is ended. */
        const val LONGEST_SAVE = 2
        const val SAVE_MARGIN_MS = 5_000

        /** So many failures in a row make a machine faulty. */
        const val FAULTY = 3
    }
}
