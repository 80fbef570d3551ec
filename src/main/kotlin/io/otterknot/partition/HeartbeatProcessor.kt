package io.otterknot.partition

import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.Scheduler
import io.otterknot.scheduling.StartReason
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.HeartbeatSize
import io.otterknot.wire.MachineType
import io.otterknot.wire.TaskState

/**
 * Applies heartbeats to a partition and decides on the responses. Commands are sent only in the response to a heartbeat
 * that shows this leader's fencing token: a worker has one heartbeat in flight and drops late responses, so its next
 * heartbeat shows whether the commands were executed.
 */
class HeartbeatProcessor(
    private val term: LeadershipTerm,
    private val leases: LeaseTimings,
    private val machineTypes: (name: String) -> MachineType?,
    private val state: PartitionState,
    private val reconciliation: FailoverReconciliation,
    private val reconciler: HeartbeatReconciler,
    private val scheduler: Scheduler,
) {
    private val machines = state.machines
    private val commandIssuer = CommandIssuer()
    private val excessAttempts = ExcessAttempts(term.zone, state.attempts)

    /** Applies [heartbeat], which took [heartbeatBytes] on the wire, and returns how to respond. */
    fun process(heartbeat: Heartbeat, heartbeatBytes: Int, now: Long): HeartbeatDecision {
        if (heartbeat.fencingToken > term.fencingToken) return HeartbeatDecision.Superseded
        val type = machineTypes(heartbeat.type) ?: return respond(emptyList())
        val known = machines[heartbeat.machine]
        if (!machines.isNewer(heartbeat, known)) return HeartbeatDecision.Stale
        val machine = known ?: machines.add(heartbeat, type, now)
        if (heartbeat.epoch > machine.epoch) startEpoch(machine, heartbeat.epoch, isKnown = known != null, now)
        machine.heartbeatReceived(heartbeat.sequence, now)
        state.health.forget(machine.id)
        if (heartbeat.fencingToken < term.fencingToken) {
            // The earlier response to a known machine contained the token, so that response was lost.
            if (known != null) machine.responsesLost(1)
            reconciliation.priorTokenShown(machine, now)
            return respond(emptyList())
        }
        return respond(applyReconciled(machine, heartbeat, heartbeatBytes, now))
    }

    private fun respond(commands: List<HeartbeatCommand>) = HeartbeatDecision.Answer(term.fencingToken, commands)

    /** Applies a new epoch of [machine]: its worker has killed and forgotten all attempts of earlier epochs. */
    private fun startEpoch(machine: Machine, epoch: Long, isKnown: Boolean, now: Long) {
        // The lease expired although heartbeats kept arriving, so the responses to them were lost.
        val hasKeptReporting = now - machine.lastHeartbeatMs < leases.leaseMs / 2
        if (isKnown && hasKeptReporting) machine.responsesLost(LOST_RESPONSES_PER_LEASE_EXPIRY)
        state.attempts.giveUpAll(machine, StartReason.NEW_EPOCH)
        machine.epochStarted(epoch)
    }

    /**
     * Applies a heartbeat that shows this leader's fencing token, so that no command of an earlier leader can reach
     * [machine] any more. Returns the commands to respond with.
     */
    private fun applyReconciled(
        machine: Machine,
        heartbeat: Heartbeat,
        heartbeatBytes: Int,
        now: Long,
    ): List<HeartbeatCommand> {
        machine.leaseMayStart(now)
        machine.reconcile()
        machine.updateSpotNotice(heartbeat.spotNoticeS != null)
        val forStatuses = heartbeat.tasks.mapNotNull { reconciler.reconcile(machine, it, now) }
        reconciler.requeueUnshown(machine)
        updateUnbookedTasks(machine, heartbeat)
        excessAttempts.stop(machine, heartbeatBytes)
        heartbeat.spotNoticeS?.let { reconciler.stopBeforeRevocation(machine, it, now) }
        reconciliation.machineReconciled(machine, now)
        val isIdle = machine.attempts.isEmpty() && machine.acceptsTasks && machine.resources.mayFit(minCores = 0.0)
        machine.reported(machine.resources.bookedShare(), isIdle)
        if (machine.losesResponses) probe(machine, now) else scheduler.placeOn(machine, now)
        val commands = commandIssuer.issue(machine, forStatuses, now)
        state.decisions.responded(machine, commands)
        return commands
    }

    private fun updateUnbookedTasks(machine: Machine, heartbeat: Heartbeat) {
        var hasUnknownTasks = false
        var unbookedStatusBytes = 0
        for (status in heartbeat.tasks) {
            if (machine.attempts.containsKey(status.attempt)) continue
            unbookedStatusBytes += HeartbeatSize.ofStatus(status.task)
            if (status.state != TaskState.EXITED) hasUnknownTasks = true
        }
        val withUnknownTasks = state.unknownUsage.withUnknownTasks
        if (hasUnknownTasks) {
            withUnknownTasks.add(machine.id, machine.type.name)
        } else {
            withUnknownTasks.remove(machine.id)
        }
        machine.updateUnbookedTasks(hasUnknownTasks, unbookedStatusBytes)
    }

    /** Places a single task on a machine that seems to lose responses, to find out whether responses reach it. */
    private fun probe(machine: Machine, now: Long) {
        val isIdle = machine.attempts.isEmpty() && machine.reconciled && machine.registered && machine.inService
        if (!isIdle || now - machine.lastProbeMs < MIN_PROBE_INTERVAL_MS) return
        machine.probed(now)
        scheduler.probe(machine, now)
    }

    private companion object {
        const val MIN_PROBE_INTERVAL_MS = 3_000L

        /** How many lost responses are counted when a lease has expired although heartbeats kept arriving. */
        const val LOST_RESPONSES_PER_LEASE_EXPIRY = 2
    }
}
