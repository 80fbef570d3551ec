package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.wire.CommandOperation
import io.otterknot.wire.HeartbeatCommand

/** Decides which commands the response to a heartbeat contains. */
class CommandIssuer {
    /**
     * Returns the commands for [machine]: those that follow from the statuses in its heartbeat, [forStatuses], and the
     * halt and start commands that are due for its attempts.
     *
     * Halts come first, since tasks of cancelled jobs must end in time, even if not all commands fit. Starts come last,
     * since a worker refuses to start a task while an earlier attempt of it is on the machine. A start that does not
     * fit remains booked, and is sent with a later response.
     */
    fun issue(machine: Machine, forStatuses: List<HeartbeatCommand>, now: Long): List<HeartbeatCommand> {
        val commands = ResponseCommands()
        val (halts, forgets) = forStatuses.partition { it.op == CommandOperation.HALT }
        halts.forEach(commands::add)
        for (attempt in machine.attempts.values) dueHalt(attempt, now)?.let(commands::add)
        forgets.forEach(commands::add)
        issueStarts(machine, now, commands)
        return commands.toList()
    }

    private fun issueStarts(machine: Machine, now: Long, commands: ResponseCommands) {
        for (attempt in machine.attempts.values) {
            if (attempt.phase != AttemptPhase.BOOKED) continue
            val isAdded = commands.add(HeartbeatCommand.start(attempt.name, attempt.id))
            if (!isAdded) return
            attempt.markSent(now)
        }
    }

    /**
     * Returns the halt command, which is repeated until the attempt has exited, or null if none is due or while it
     * saves a checkpoint, which a second halt command would abort.
     */
    private fun dueHalt(attempt: Attempt, now: Long): HeartbeatCommand? {
        if (!attempt.stopping || attempt.phase == AttemptPhase.BOOKED) return null
        val spec = attempt.job.spec
        if (spec.checkpointS <= 0 || attempt.job.finished) return haltImmediately(attempt)
        val savingSince = attempt.savingSinceMs ?: return HeartbeatCommand.halt(attempt.name, attempt.id, spec.saveS)
        val maxSaveMs = spec.saveS * MS_PER_S * MAX_SAVE_TIME_FACTOR + SAVE_MARGIN_MS
        return if (now - savingSince > maxSaveMs) haltImmediately(attempt) else null
    }

    private fun haltImmediately(attempt: Attempt) = HeartbeatCommand.halt(attempt.name, attempt.id, 0.0)

    private companion object {
        const val MS_PER_S = 1000

        /**
         * An attempt that has been saving a checkpoint for longer than this multiple of the time that its user states,
         * plus [SAVE_MARGIN_MS], is halted immediately.
         */
        const val MAX_SAVE_TIME_FACTOR = 2
        const val SAVE_MARGIN_MS = 5_000
    }
}
