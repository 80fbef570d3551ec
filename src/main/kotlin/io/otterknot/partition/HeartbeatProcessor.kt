package io.otterknot.partition

import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.Scheduler
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.MachineType
import io.otterknot.wire.TaskState

/**
 * Applies heartbeats to a partition and decides on the responses. Commands go out only in the response to a heartbeat
 * that shows this leader's fencing token: a worker has one heartbeat in flight and drops late responses, so its next
 * heartbeat shows what came of them.
 */
class HeartbeatProcessor(
    private val term: LeadershipTerm,
    private val leases: LeaseTimings,
    private val machineTypes: (name: String) -> MachineType?,
    private val books: PartitionBooks,
    private val reconciliation: FailoverReconciliation,
    private val reconciler: HeartbeatReconciler,
    private val scheduler: Scheduler,
) {
    private val machines = books.machines
    private val commandIssuer = CommandIssuer()

    fun process(heartbeat: Heartbeat, now: Long): HeartbeatDecision {
        if (heartbeat.fencingToken > term.fencingToken) return HeartbeatDecision.Superseded
        val type = machineTypes(heartbeat.type) ?: return answer(emptyList())
        val known = machines[heartbeat.machine]
        if (!machines.isNewer(heartbeat, known)) return HeartbeatDecision.Stale
        val machine = known ?: machines.add(heartbeat, type, now)
        if (heartbeat.epoch > machine.epoch) startEpoch(machine, heartbeat.epoch, isKnown = known != null, now)
        machine.heartbeatReceived(heartbeat.sequence, now)
        books.health.forget(machine.id)
        if (heartbeat.fencingToken < term.fencingToken) {
            // This leader has responded to a known machine before, and the token was in that response.
            if (known != null) machine.responsesLost(1)
            reconciliation.priorTokenShown(machine, now)
            return answer(emptyList())
        }
        return answer(applyReconciled(machine, heartbeat, now))
    }

    private fun answer(commands: List<HeartbeatCommand>) = HeartbeatDecision.Answer(term.fencingToken, commands)

    /** The worker has killed and forgotten everything of its earlier epochs. */
    private fun startEpoch(machine: Machine, epoch: Long, isKnown: Boolean, now: Long) {
        // Its lease expired although its heartbeats arrived all the while: the responses to them did not.
        val hasKeptReporting = now - machine.lastHeartbeatMs < leases.leaseMs / 2
        if (isKnown && hasKeptReporting) machine.responsesLost(LOST_BY_LEASE_EXPIRY)
        books.attempts.releaseAll(machine)
        machine.epochStarted(epoch)
    }

    /** The heartbeat shows this leader's token, so no command of an earlier leader can reach the machine any more. */
    private fun applyReconciled(machine: Machine, heartbeat: Heartbeat, now: Long): List<HeartbeatCommand> {
        machine.leaseMayStart(now)
        machine.reconcile()
        machine.updateSpotNotice(heartbeat.spotNoticeS != null)
        val commands = ArrayList<HeartbeatCommand>()
        for (status in heartbeat.tasks) {
            val command = reconciler.reconcile(machine, status, now)
            if (command != null) commands.add(command)
        }
        reconciler.requeueUnshown(machine)
        updateUnknownTasks(machine, heartbeat)
        heartbeat.spotNoticeS?.let { reconciler.stopBeforeRevocation(machine, it, now) }
        reconciliation.machineReconciled(machine, now)
        machine.reported(machine.bookedShare(), machine.attempts.isEmpty() && machine.acceptsTasks)
        if (machine.losesResponses) probe(machine, now) else scheduler.placeOn(machine, now)
        commandIssuer.issueDue(machine, now, commands)
        return commands
    }

    private fun updateUnknownTasks(machine: Machine, heartbeat: Heartbeat) {
        val hasUnknownTasks = heartbeat.tasks.any {
            it.state != TaskState.EXITED && !machine.attempts.containsKey(it.attempt)
        }
        val withUnknownTasks = books.unknownUsage.withUnknownTasks
        if (hasUnknownTasks) {
            withUnknownTasks.add(machine.id, machine.type.name)
        } else {
            withUnknownTasks.remove(machine.id)
        }
        machine.updateUnknownTasks(hasUnknownTasks)
    }

    /** Tries with a single task whether responses reach a machine that seems to lose them. */
    private fun probe(machine: Machine, now: Long) {
        val isIdle = machine.attempts.isEmpty() && machine.reconciled && machine.registered && machine.inService
        if (!isIdle || now - machine.lastProbeMs < MIN_PROBE_INTERVAL_MS) return
        machine.probed(now)
        scheduler.probe(machine, now)
    }

    private companion object {
        const val MIN_PROBE_INTERVAL_MS = 3_000L

        /** How many lost responses a lease that expired in spite of heartbeats counts for. */
        const val LOST_BY_LEASE_EXPIRY = 2
    }
}
