package io.otterknot.partition

import io.otterknot.scheduling.Machine

/** The machines of a partition as registration in the store and autoscaling see them. */
class PartitionFleet(
    private val state: PartitionState,
    private val removals: MachineRemovals,
    private val reconciliation: FailoverReconciliation,
    private val trigger: PlacementTrigger,
) {
    /** Registered machines that the cloud has released; their ids are never reused, so their keys may be deleted. */
    val released: Set<String> get() = state.machines.released

    /** Sets which machines are registered. */
    fun updateRegistered(ids: Set<String>) {
        if (state.machines.updateRegistered(ids)) trigger.requestFullPass()
    }

    /** Machines that report here and must be registered before a task may be placed on them. */
    fun unregistered(): List<Machine> = state.machines.unregistered()

    /** The types of the machines that an earlier leader registered and that have not reported to this leader yet. */
    fun unreportedTypes(): List<String> = reconciliation.unreportedMachineTypes()

    /** See [MachineRemovals.released]. */
    fun machineReleased(id: String, now: Long) = removals.released(id, now)

    /** See [MachineRemovals.unlisted]. */
    fun forget(id: String, now: Long) = removals.unlisted(id, now)

    /**
     * Machines to be released because they have not reported for [timeoutMs] while others have, and block tasks or
     * reconciliation; see [MachineHealth.unresponsive].
     */
    fun unresponsive(now: Long, timeoutMs: Long): List<String> =
        state.health.unresponsive(now, timeoutMs, reconciliation.acquiredMsWhileUnreconciled)
            .filterNot { it in removals }

    /** Machines to be released because the responses to their heartbeats are lost repeatedly. */
    fun losingResponses(): List<String> = state.health.losingResponses()
}
