package io.otterknot.autoscaling

import io.otterknot.cloud.CloudClient
import io.otterknot.cloud.CloudResult
import io.otterknot.partition.Partition
import io.otterknot.scheduling.ServiceLevelObjectives
import io.otterknot.wire.MachineType
import kotlinx.coroutines.delay
import kotlin.random.Random

/**
 * Scales the partitions that this controller leads out and in. Two loops: one compares demand with supply
 * ([DemandMeter], [ScaleOut], [ScaleIn]), the other the cloud's list with what reports ([CloudInspection]). All state is
 * used on the controller's one thread only, and lost with it: the next leader learns it from the list and the heartbeats.
 */
class Autoscaler(
    private val cloud: CloudClient,
    private val catalog: MachineTypeCatalog,
    private val led: LedPartitions,
    objectives: ServiceLevelObjectives,
    timings: HeartbeatTimings,
    private val nowMs: () -> Long,
    private val random: Random,
) {
    private val policy = ScalingPolicy()
    private val expected = ExpectedMachines()
    private val inventory = CloudInventory(led, timings.leaseMs, catalog::type)
    private val demandMeter = DemandMeter(catalog, objectives, expected, nowMs)
    private val scaleOut = ScaleOut(cloud, catalog, policy, led, expected, nowMs, random)
    private val scaleIn = ScaleIn(cloud, policy, led, expected, timings, nowMs)
    private val inspection = CloudInspection(catalog, led, inventory, expected, scaleIn)

    /** Adds the machines that are missing and releases those that can be spared, until cancelled. */
    suspend fun scaleContinuously() {
        while (true) {
            delay(SCALE_MS + random.nextLong(SCALE_JITTER_MS))
            val types = catalog.types ?: continue
            scaleOut.retryUnanswered()
            for (zone in led.zones.toList()) {
                val partition = led[zone] ?: continue
                if (led.mayActFor(partition)) scale(partition, types)
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
        // Until a request is answered, nobody knows what is missing; machines in a zone that is cut off would be no use.
        if (scaleOut.hasUnanswered(partition.zone) || inventory.isCutOff(partition)) return
        scaleOut.requestMissing(partition, inputs, types)
    }

    /** Compares the cloud's list of machines with those that report, until cancelled. */
    suspend fun inspectContinuously() {
        while (true) {
            delay(INSPECT_MS + random.nextLong(INSPECT_JITTER_MS))
            if (led.zones.isEmpty()) continue
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
