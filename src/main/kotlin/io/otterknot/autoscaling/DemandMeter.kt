package io.otterknot.autoscaling

import io.otterknot.partition.Partition
import io.otterknot.scheduling.ServiceLevelObjectives
import io.otterknot.wire.JobSpec

/** Measures the demand and supply of the partitions, and keeps recent demand in [DemandWindow]s. */
class DemandMeter(
    private val catalog: MachineTypeCatalog,
    private val objectives: ServiceLevelObjectives,
    private val expected: ExpectedMachines,
    private val nowMs: () -> Long,
) {
    private class RecentDemand {
        val ordinary = DemandWindow()
        val total = DemandWindow()

        /** The largest share of jobs, over all classes seen so far, that must start before a machine could boot. */
        var promptShare = 0.0
    }

    private val recentDemandByZone = HashMap<String, RecentDemand>()

    /** Samples the demand of [partition] and returns its demand and supply. */
    fun measure(partition: Partition): ScalingInputs {
        val bootS = shortestBootS(partition.zone)
        val recent = recentDemandByZone.getOrPut(partition.zone) { RecentDemand() }
        val promptShare = partition.jobs.maxOfOrNull { objectives.readyShare(it.spec, bootS) } ?: 0.0
        recent.promptShare = maxOf(recent.promptShare, promptShare)
        return ScalingInputs(
            demandCores(partition, recent.ordinary, recent.promptShare, bootS) { !it.spot },
            demandCores(partition, recent.total, recent.promptShare, bootS) { true },
            supplyCores(partition, includeSpot = false),
            supplyCores(partition, includeSpot = true),
        )
    }

    private fun supplyCores(partition: Partition, includeSpot: Boolean): Double {
        var cores = 0.0
        for (machine in partition.machines) {
            val isUsable = machine.inService && !machine.losesResponses
            if (isUsable && (includeSpot || !machine.spot)) cores += machine.type.cores
        }
        // After a failover, machines report one after another. Those that have not reported yet count as supply;
        // otherwise they would be requested again.
        for (type in partition.fleet.unreportedTypes()) cores += catalog.type(type)?.cores ?: 0.0
        for (machine in expected.all) {
            val isInZone = machine.zone == partition.zone
            if (isInZone && (includeSpot || !machine.kind.spot)) cores += machine.cores
        }
        return cores
    }

    /** Returns the shortest boot time of the types offered in [zone], in seconds, or 0 if no type is offered. */
    private fun shortestBootS(zone: String): Double =
        catalog.types.orEmpty().filter { zone in it.zones }.minOfOrNull { it.bootS } ?: 0.0

    /**
     * Returns the cores that supply must cover for the jobs that satisfy [isCounted]. Recent demand counts only for
     * jobs that cannot wait for a boot, so that machines are available in advance; for the others current demand
     * counts.
     */
    private fun demandCores(
        partition: Partition,
        window: DemandWindow,
        promptShare: Double,
        bootS: Double,
        isCounted: (JobSpec) -> Boolean,
    ): Double {
        val promptDemand = partition.load.demand { isCounted(it) && objectives.readyShare(it, bootS) > 0 }
        return window.update(nowMs(), promptDemand, promptShare) + partition.load.demand(isCounted) - promptDemand
    }
}
