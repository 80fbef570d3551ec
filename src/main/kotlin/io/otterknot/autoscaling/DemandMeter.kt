package io.otterknot.autoscaling

import io.otterknot.partition.Partition
import io.otterknot.scheduling.ServiceLevelObjectives
import io.otterknot.wire.JobSpec

/** Measures what the partitions need and have. It remembers the demand of the last while, see [DemandWindow]. */
class DemandMeter(
    private val catalog: MachineTypeCatalog,
    private val objectives: ServiceLevelObjectives,
    private val expected: ExpectedMachines,
    private val nowMs: () -> Long,
) {
    private class RecentDemand {
        val ordinary = DemandWindow()
        val total = DemandWindow()

        /** The largest share of jobs, of any class seen so far, that must start sooner than a machine boots. */
        var promptShare = 0.0
    }

    private val recentDemandByZone = HashMap<String, RecentDemand>()

    /** Takes a sample of the demand of [partition] and returns what it needs and has. */
    fun measure(partition: Partition): ScalingInputs {
        val bootS = shortestBootS(partition.zone)
        val recent = recentDemandByZone.getOrPut(partition.zone) { RecentDemand() }
        val promptShare = partition.jobs.maxOfOrNull { objectives.readyShare(it.spec, bootS) } ?: 0.0
        recent.promptShare = maxOf(recent.promptShare, promptShare)
        return ScalingInputs(
            demandCores(partition, recent.ordinary, recent.promptShare, bootS) { !it.spot },
            demandCores(partition, recent.total, recent.promptShare, bootS) { true },
            supplyCores(partition, withSpot = false),
            supplyCores(partition, withSpot = true),
        )
    }

    private fun supplyCores(partition: Partition, withSpot: Boolean): Double {
        var cores = 0.0
        for (machine in partition.machines) {
            val isUsable = machine.inService && !machine.losesResponses
            if (isUsable && (withSpot || !machine.spot)) cores += machine.type.cores
        }
        // After a failover the machines report one by one: until then they would all seem to be missing.
        for (type in partition.fleet.unreportedTypes()) cores += catalog.type(type)?.cores ?: 0.0
        for (machine in expected.all) {
            val isHere = machine.zone == partition.zone
            if (isHere && (withSpot || !machine.kind.spot)) cores += machine.cores
        }
        return cores
    }

    /** In seconds; 0 where nothing is offered. */
    private fun shortestBootS(zone: String): Double =
        catalog.types.orEmpty().filter { zone in it.zones }.minOfOrNull { it.bootS } ?: 0.0

    /**
     * The cores that the jobs that [isCounted] are to be supplied with. Only for those that cannot wait for a boot are
     * machines kept in advance; the demand of the others counts as it is.
     */
    private fun demandCores(
        partition: Partition,
        window: DemandWindow,
        promptShare: Double,
        bootS: Double,
        isCounted: (JobSpec) -> Boolean,
    ): Double {
        val prompt = partition.load.demand { isCounted(it) && objectives.readyShare(it, bootS) > 0 }
        return window.update(nowMs(), prompt, promptShare) + partition.load.demand(isCounted) - prompt
    }
}
