package io.otterknot.partition

import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec

/** What a partition has, what is asked of it, and the mean of its loads as others are told. */
class PartitionLoad(
    private val machines: () -> List<Machine>,
    private val jobs: () -> List<PartitionJob>,
    private val teams: TeamQuotaLedger,
) {
    val totalCores: Double get() = machines().sumOf { if (it.inService) it.type.cores else 0.0 }

    val totalResources: Resources
        get() = machines().fold(Resources.NONE) { sum, it -> if (it.inService) sum + Resources.of(it.type) else sum }

    val ordinaryCores: Double get() = machines().sumOf { if (!it.spot && it.inService) it.type.cores else 0.0 }

    /** Cores that the tasks of some jobs take here or wait for, as far as their teams' limits let them. */
    fun demand(of: (JobSpec) -> Boolean): Double {
        val byTeam = HashMap<Int, Double>()
        for (job in jobs()) {
            if (of(job.spec)) byTeam.merge(job.team, job.pendingCores + job.active.size * job.spec.cores, Double::plus)
        }
        return teams.sumWithinAllotments { byTeam[it] ?: 0.0 }
    }

    /** The mean of the machines' loads; what waits counts too, as it does in the queues of Saqr's workers. */
    fun mean(): Double {
        val busy = machines().sumOf { if (it.leaseExpired) 0.0 else it.usedCores }
        return (busy + jobs().sumOf { it.pendingCores }) / maxOf(totalCores, 1.0)
    }

    /** The same for ordinary machines and the tasks that may run on no other. */
    fun ordinaryMean(): Double = demand { !it.spot } / maxOf(ordinaryCores, 1.0)

    /** What the booked cores are doing. */
    fun coresByPhase(): Map<AttemptPhase, Double> = machines()
        .flatMap { it.attempts.values }
        .groupBy { it.phase }
        .mapValues { (_, attempts) -> attempts.sumOf { it.job.spec.cores } }
}
