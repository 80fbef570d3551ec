package io.otterknot.autoscaling

import io.otterknot.partition.Partition
import io.otterknot.wire.ListedMachine
import io.otterknot.wire.ListedMachineState

/**
 * Applies the cloud's list of machines: releases machines that have failed, do not report or have not booted in time,
 * adds booting machines that an earlier leader requested to the expected machines, and removes machines that no longer
 * exist.
 */
class CloudInspection(
    private val catalog: MachineTypeCatalog,
    private val ledPartitions: LedPartitions,
    private val inventory: CloudInventory,
    private val expected: ExpectedMachines,
    private val scaleIn: ScaleIn,
) {
    /** Applies [listed], which must be the complete list of the cloud. */
    suspend fun inspect(listed: List<ListedMachine>, now: Long) {
        val isolatedZones = inventory.isolatedZones(listed)
        val failedOrUnresponsive = listed.filter { isFailedOrUnresponsive(it, isolatedZones, now) }
        for (machine in listed) expectIfBooting(machine, now)
        val listedIds = listed.mapTo(HashSet()) { it.id }
        expected.removeUnlisted(listedIds, now, UNLISTED_MS)
        ledPartitions.all.forEach { removeUnlistedFrom(it, listedIds, now) }
        scaleIn.release(failedOrUnresponsive.map { it.id }, ScaleInReason.FAILED_OR_SILENT)
    }

    private fun isFailedOrUnresponsive(machine: ListedMachine, isolatedZones: Set<String>, now: Long): Boolean {
        val partition = ledPartitions[machine.zone] ?: return false
        if (scaleIn.wasReleased(machine.id) || !ledPartitions.mayActFor(partition)) return false
        // The machines of an isolated zone report again once it is reachable; replacements could not be reached either.
        if (machine.zone in isolatedZones && machine.state == ListedMachineState.RUNNING) {
            inventory.resetUnresponsiveTime(machine)
            return false
        }
        return inventory.isFailedOrUnresponsive(machine, partition, now)
    }

    /** Adds [machine] to the expected machines if it is booting at an earlier leader's request and likely to finish. */
    private fun expectIfBooting(machine: ListedMachine, now: Long) {
        val partition = ledPartitions[machine.zone] ?: return
        if (machine.state != ListedMachineState.BOOTING || isAccountedFor(machine.id, partition)) return
        val type = catalog.type(machine.type) ?: return
        if (machine.ageS > type.bootS * MAX_EXPECTED_BOOT_FACTOR) return
        val kind = MachineKind(machine.type, machine.spot)
        expected.add(machine.id, ExpectedMachine(machine.zone, kind, type.cores, now))
    }

    private fun isAccountedFor(id: String, partition: Partition): Boolean =
        scaleIn.wasReleased(id) || id in expected || partition.machine(id) != null

    /** Removes machines that neither report nor appear in the list: the cloud has reclaimed them. */
    private fun removeUnlistedFrom(partition: Partition, listedIds: Set<String>, now: Long) {
        val unlisted = partition.machines.filter { it.leaseExpired && it.id !in listedIds }
        unlisted.filter { now - it.lastHeartbeatMs > UNLISTED_MS }.forEach { partition.fleet.forget(it.id, now) }
    }

    private companion object {
        /** Much longer than the lag of the cloud's list. */
        const val UNLISTED_MS = 30_000L

        /** A machine that has been booting for longer than this multiple of its type's boot time is not expected. */
        const val MAX_EXPECTED_BOOT_FACTOR = 2.0
    }
}
