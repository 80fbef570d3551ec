package io.otterknot.partition

import io.otterknot.scheduling.Machine

/** The machines of a partition as registration in the store and autoscaling see them. */
class PartitionFleet(
    private val books: PartitionBooks,
    private val lifecycle: MachineLifecycle,
    private val reconciliation: FailoverReconciliation,
    private val trigger: PlacementTrigger,
) {
    /** Registered machines that the cloud has released; their ids are never used again, so their keys may go too. */
    val released: Set<String> get() = books.machines.released

    /** Takes over which machines are registered now. */
    fun updateRegistered(ids: Set<String>) {
        if (books.machines.updateRegistered(ids)) trigger.requestFullPass()
    }

    /** Machines that report here and must be registered before they may get a task. */
    fun unregistered(): List<Machine> = books.machines.unregistered()

    /** The types of machines that an earlier leader had registered and that have not reported yet. */
    fun unreportedTypes(): List<String> = reconciliation.unreportedMachineTypes()

    /** See [MachineLifecycle.release]. */
    fun machineReleased(id: String) = lifecycle.release(id)

    /** See [MachineLifecycle.forget]. */
    fun forget(id: String) = lifecycle.forget(id)

    /** Machines to be released: silent for [timeoutMs] while others report, they hold up tasks or reconciliation. */
    fun unresponsive(now: Long, timeoutMs: Long): List<String> =
        books.health.unresponsive(now, timeoutMs, reconciliation.acquiredMsWhileInDoubt)

    /** Machines to be released: they report, but the responses to them are lost again and again. */
    fun losingResponses(): List<String> = books.health.losingResponses()
}
