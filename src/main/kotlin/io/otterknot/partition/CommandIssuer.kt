package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.wire.HeartbeatCommand

/** Adds the start and halt commands that are due on a machine to the response to its heartbeat. */
class CommandIssuer {
    fun issueDue(machine: Machine, now: Long, commands: MutableList<HeartbeatCommand>) {
        for (attempt in machine.attempts.values) {
            val command = dueCommand(attempt, now)
            if (command != null) commands.add(command)
        }
    }

    private fun dueCommand(attempt: Attempt, now: Long): HeartbeatCommand? = when {
        attempt.phase == AttemptPhase.BOOKED -> start(attempt, now)
        attempt.stopping -> halt(attempt, now)
        else -> null
    }

    private fun start(attempt: Attempt, now: Long): HeartbeatCommand {
        attempt.markSent(now)
        return HeartbeatCommand.start(attempt.name, attempt.id)
    }

    /**
     * Returns the halt command, which is repeated until the attempt has exited, or null while it saves a checkpoint,
     * which a second halt command would abort.
     */
    private fun halt(attempt: Attempt, now: Long): HeartbeatCommand? {
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
