package io.otterknot.autoscaling

import io.otterknot.partition.Partition
import io.otterknot.wire.ListedMachine
import io.otterknot.wire.ListedMachineState

/**
 * Draws the consequences of the cloud's list of machines: releases those that will never be of use, expects those that
 * an earlier leader scaled out, and forgets those that are gone.
 */
class CloudInspection(
    private val catalog: MachineTypeCatalog,
    private val led: LedPartitions,
    private val inventory: CloudInventory,
    private val expected: ExpectedMachines,
    private val scaleIn: ScaleIn,
) {
    /** [listed]: the whole list of the cloud. */
    suspend fun inspect(listed: List<ListedMachine>, now: Long) {
        val silentZones = inventory.silentZones(listed)
        val failedOrSilent = listed.filter { isFailedOrSilent(it, silentZones, now) }
        for (machine in listed) expectIfBooting(machine, now)
        val listedIds = listed.mapTo(HashSet()) { it.id }
        expected.removeUnlisted(listedIds, now, UNLISTED_MS)
        led.all.forEach { forgetUnlisted(it, listedIds, now) }
        scaleIn.release(failedOrSilent.map { it.id }, ScaleInReason.FAILED_OR_SILENT)
    }

    private fun isFailedOrSilent(machine: ListedMachine, silentZones: Set<String>, now: Long): Boolean {
        val partition = led[machine.zone] ?: return false
        if (scaleIn.wasReleased(machine.id) || !led.mayActFor(partition)) return false
        // The machines of a zone that is cut off come back with it; new ones could not be reached either.
        if (machine.zone in silentZones && machine.state == ListedMachineState.RUNNING) {
            inventory.resetSilence(machine)
            return false
        }
        return inventory.isFailedOrSilent(machine, partition, now)
    }

    /** A machine that an earlier leader scaled out and that is still booting. */
    private fun expectIfBooting(machine: ListedMachine, now: Long) {
        val partition = led[machine.zone] ?: return
        if (machine.state != ListedMachineState.BOOTING || isAccountedFor(machine.id, partition)) return
        val type = catalog.type(machine.type) ?: return
        if (machine.ageS > type.bootS * LIKELY_BOOT_FACTOR) return
        val kind = MachineKind(machine.type, machine.spot)
        expected.add(machine.id, ExpectedMachine(machine.zone, kind, type.cores, now))
    }

    private fun isAccountedFor(id: String, partition: Partition): Boolean =
        scaleIn.wasReleased(id) || id in expected || partition.machine(id) != null

    /** A machine that neither reports nor is listed has been taken back by the cloud. */
    private fun forgetUnlisted(partition: Partition, listedIds: Set<String>, now: Long) {
        val unlisted = partition.machines.filter { it.leaseExpired && it.id !in listedIds }
        unlisted.filter { now - it.lastHeartbeatMs > UNLISTED_MS }.forEach { partition.fleet.forget(it.id) }
    }

    private companion object {
        /** By far longer than the cloud's list lags behind. */
        const val UNLISTED_MS = 30_000L

        /** A boot that has taken more than so many times what is usual for the type is not counted on. */
        const val LIKELY_BOOT_FACTOR = 2.0
    }
}
