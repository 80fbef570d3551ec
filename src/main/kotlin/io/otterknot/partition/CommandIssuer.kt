package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.wire.HeartbeatCommand

/** Adds to the response to a heartbeat the starts and halts that are due on its machine. */
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

    /** Repeated until the attempt has exited; null: it saves a checkpoint, which a second halt would cut short. */
    private fun halt(attempt: Attempt, now: Long): HeartbeatCommand? {
        val spec = attempt.job.spec
        if (spec.checkpointS <= 0 || attempt.job.finished) return haltAtOnce(attempt)
        val savingSince = attempt.savingSinceMs ?: return HeartbeatCommand.halt(attempt.name, attempt.id, spec.saveS)
        val maxSaveMs = spec.saveS * MS_PER_S * MAX_SAVE_TIMES_STATED + SAVE_MARGIN_MS
        return if (now - savingSince > maxSaveMs) haltAtOnce(attempt) else null
    }

    private fun haltAtOnce(attempt: Attempt) = HeartbeatCommand.halt(attempt.name, attempt.id, 0.0)

    private companion object {
        const val MS_PER_S = 1000

        /** A task that saves for longer than so many times what its user states, and the margin, is halted at once. */
        const val MAX_SAVE_TIMES_STATED = 2
        const val SAVE_MARGIN_MS = 5_000
    }
}
