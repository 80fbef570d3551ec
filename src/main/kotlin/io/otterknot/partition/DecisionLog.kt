package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.StartReason
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.TaskStatus
import org.slf4j.LoggerFactory

/** Logs and counts, for the leader of one partition, why tasks are started, given up or rejected. */
class DecisionLog(private val term: LeadershipTerm, private val count: (counter: String) -> Unit) {
    private val log = LoggerFactory.getLogger(DecisionLog::class.java)

    /** Records that [attempt] is booked for a task that may be started for [reason]. */
    fun booked(attempt: Attempt, reason: StartReason) {
        count("starts: ${reason.logName}")
        log.debug("{} reason=\"{}\" attempt booked", describe(attempt), reason.logName)
    }

    /** Records that an attempt of an earlier leader, which its machine reports, is booked. */
    fun adopted(attempt: Attempt) {
        count("attempts adopted")
        log.debug("{} attempt adopted", describe(attempt))
    }

    /** Records that [attempt] is given up and its task may be started again for [reason]. */
    fun givenUp(attempt: Attempt, reason: StartReason) {
        log.debug("{} phase={} reason=\"{}\" attempt given up", describe(attempt), attempt.phase, reason.logName)
    }

    /** Records that [machine] shows an attempt of a task that may not run there, or was given up there. */
    fun rejected(machine: Machine, status: TaskStatus) {
        count("attempts rejected")
        log.warn(
            "partition={} fencing_token={} machine={} task={} attempt={} attempt rejected, " +
                "task may not run in this partition",
            term.zone,
            term.fencingToken,
            machine.id,
            status.task,
            status.attempt,
        )
    }

    /** Records the [commands] of a response to [machine]. */
    fun responded(machine: Machine, commands: List<HeartbeatCommand>) {
        if (commands.isEmpty() || !log.isDebugEnabled) return
        val described = commands.map { "${it.op} ${it.task}#${it.attempt}" }
        log.debug(
            "partition={} fencing_token={} machine={} epoch={} sequence={} commands={} response",
            term.zone,
            term.fencingToken,
            machine.id,
            machine.epoch,
            machine.lastSequence,
            described,
        )
    }

    private fun describe(attempt: Attempt): String {
        if (!log.isDebugEnabled) return ""
        return "partition=${term.zone} fencing_token=${term.fencingToken} machine=${attempt.machine.id} " +
            "task=${attempt.name} attempt=${attempt.id}"
    }
}
