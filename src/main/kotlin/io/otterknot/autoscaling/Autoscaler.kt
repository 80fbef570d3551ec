package io.otterknot.autoscaling

import io.otterknot.cloud.CloudClient
import io.otterknot.cloud.CloudResult
import io.otterknot.partition.Partition
import io.otterknot.scheduling.ServiceLevelObjectives
import io.otterknot.wire.MachineType
import kotlinx.coroutines.delay
import kotlin.random.Random

/**
 * Scales the partitions that this controller leads out and in. One loop compares demand with supply ([DemandMeter],
 * [ScaleOut], [ScaleIn]); the other compares the cloud's list with the machines that report ([CloudInspection]). All
 * state is confined to the controller's single thread and is not persisted: after a failover, the next leader rebuilds
 * it from the cloud's list and the heartbeats.
 */
class Autoscaler(
    private val cloud: CloudClient,
    private val catalog: MachineTypeCatalog,
    private val ledPartitions: LedPartitions,
    objectives: ServiceLevelObjectives,
    timings: HeartbeatTimings,
    private val nowMs: () -> Long,
    private val random: Random,
) {
    private val policy = ScalingPolicy()
    private val expected = ExpectedMachines()
    private val inventory = CloudInventory(ledPartitions, timings.leaseMs, catalog::type)
    private val demandMeter = DemandMeter(catalog, objectives, expected, nowMs)
    private val scaleOut = ScaleOut(cloud, catalog, policy, ledPartitions, expected, nowMs, random)
    private val scaleIn = ScaleIn(cloud, policy, ledPartitions, expected, timings, nowMs)
    private val inspection = CloudInspection(catalog, ledPartitions, inventory, expected, scaleIn)

    /** Periodically requests missing machines and drains and releases surplus ones, until cancelled. */
    suspend fun scaleContinuously() {
        while (true) {
            delay(SCALE_MS + random.nextLong(SCALE_JITTER_MS))
            val types = catalog.types ?: continue
            scaleOut.retryUnanswered()
            for (zone in ledPartitions.zones.toList()) {
                val partition = ledPartitions[zone] ?: continue
                if (ledPartitions.mayActFor(partition)) scale(partition, types)
            }
        }
    }

    private suspend fun scale(partition: Partition, types: List<MachineType>) {
        expected.removeReporting(partition)
        scaleIn.releaseUnresponsive(partition)
        scaleIn.releaseLosingResponses(partition)
        scaleIn.cancelDrains(partition)
        val inputs = demandMeter.measure(partition)
        scaleIn.drainSurplus(partition, inputs)
        scaleIn.releaseDrained(partition)
        // The missing capacity is unknown until all requests are answered, and new machines in an isolated zone would
        // not be reachable.
        if (scaleOut.hasUnanswered(partition.zone) || inventory.isIsolated(partition)) return
        scaleOut.requestMissing(partition, inputs, types)
    }

    /** Periodically compares the cloud's list of machines with those that report, until cancelled. */
    suspend fun inspectContinuously() {
        while (true) {
            delay(INSPECT_MS + random.nextLong(INSPECT_JITTER_MS))
            if (ledPartitions.zones.isEmpty()) continue
            val listed = cloud.machines()
            if (listed is CloudResult.Success) inspection.inspect(listed.value, nowMs())
        }
    }

    private companion object {
        const val SCALE_MS = 800L
        const val SCALE_JITTER_MS = 200L
        const val INSPECT_MS = 5_000L
        const val INSPECT_JITTER_MS = 1_000L
    }
}
