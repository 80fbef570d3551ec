package io.otterknot.partition

import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.StartReason

/**
 * Removes machines that no longer exist. Their attempts are released, and an unreconciled machine counts as reconciled,
 * only once the leadership is confirmed at a time after the machine was gone; see [LeadershipConfirmation].
 */
class MachineRemovals(private val confirmation: LeadershipConfirmation, private val state: PartitionState) {
    /** A machine that was gone by [goneMs]. [isReleased]: the cloud has confirmed its release, so it cannot report. */
    private class Removal(val goneMs: Long, val isReleased: Boolean)

    private val pending = LinkedHashMap<String, Removal>()

    /** Whether the machine is gone and is removed as soon as the leadership is confirmed. */
    operator fun contains(id: String): Boolean = id in pending

    /** Removes a machine whose release the cloud has confirmed; its id is never reused. */
    fun released(id: String, now: Long) {
        state.machines.markReleased(id)
        state.machines.rejectFurtherHeartbeats(id)
        begin(id, Removal(now, isReleased = true))
    }

    /**
     * Removes a machine that the cloud has not listed since long after its lease expired. If it reports after all, it
     * is kept or added as a new machine.
     */
    fun unlisted(id: String, now: Long) {
        if (id !in pending) begin(id, Removal(now, isReleased = false))
    }

    /** Removes the machines that were gone when the leadership was last confirmed. */
    fun removeConfirmed() {
        if (pending.isEmpty()) return
        val confirmed = pending.filterValues { confirmation.isConfirmedAfter(it.goneMs) }
        confirmed.forEach(::complete)
        pending.keys.removeAll(confirmed.keys)
    }

    private fun begin(id: String, removal: Removal) {
        state.health.forget(id)
        val machine = state.machines[id]
        if (machine != null) {
            machine.expireLease()
            state.attempts.releaseUnsent(machine)
        }
        if (mayHoldTasks(id, machine)) {
            pending[id] = removal
            removeConfirmed()
        } else {
            complete(id, removal)
        }
    }

    private fun mayHoldTasks(id: String, machine: Machine?): Boolean = machine?.attempts?.isNotEmpty() == true ||
        id in state.unknownUsage.unreconciled ||
        id in state.unknownUsage.withUnknownTasks

    private fun complete(id: String, removal: Removal) {
        val machine = state.machines[id]
        val hasReportedSince = machine != null && machine.lastHeartbeatMs > removal.goneMs
        if (hasReportedSince && !removal.isReleased) return
        state.unknownUsage.forget(id)
        if (machine != null) {
            state.attempts.giveUpAll(machine, StartReason.MACHINE_GONE)
            state.machines.remove(machine)
        }
        if (removal.isReleased) state.machines.rejectFurtherHeartbeats(id)
    }
}
