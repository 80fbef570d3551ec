package io.otterknot.partition

import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec

/** The capacity of a partition, the demand on it, and its mean load as other controllers read it. */
class PartitionLoad(private val machines: MachineBook, private val jobs: JobBook, private val teams: TeamQuotaLedger) {
    /** The cores of the machines in service; so are the other capacities. */
    val totalCores: Double get() = machines.all.sumOf { if (it.inService) it.type.cores else 0.0 }

    val totalResources: Resources
        get() = machines.all.fold(Resources.NONE) { sum, machine ->
            if (machine.inService) sum + Resources.of(machine.type) else sum
        }

    /** The cores of the machines that are no spot instances. */
    val ordinaryCores: Double get() = machines.all.sumOf { if (!it.spot && it.inService) it.type.cores else 0.0 }

    /** Cores that the tasks of the jobs which satisfy [predicate] take or wait for, within their teams' quota shares. */
    fun demand(predicate: (JobSpec) -> Boolean): Double {
        val coresByTeam = HashMap<Int, Double>()
        for (job in jobs.all) {
            if (!predicate(job.spec)) continue
            val cores = job.pendingCores + job.active.size * job.spec.cores
            coresByTeam.merge(job.team, cores, Double::plus)
        }
        return teams.sumWithinQuotaShares { coresByTeam[it] ?: 0.0 }
    }

    /** Cores in use or waited for, by the cores there are; what waits counts too, as it does in the workers' queues. */
    fun mean(): Double {
        val usedCores = machines.all.sumOf { if (it.leaseExpired) 0.0 else it.usedCores }
        return (usedCores + jobs.all.sumOf { it.pendingCores }) / maxOf(totalCores, 1.0)
    }

    /** The same for ordinary machines and the tasks that may run on no other. */
    fun ordinaryMean(): Double = demand { !it.spot } / maxOf(ordinaryCores, 1.0)

    /** The booked cores, by the phase of the attempts that hold them. */
    fun coresByPhase(): Map<AttemptPhase, Double> = machines.all
        .flatMap { it.attempts.values }
        .groupBy { it.phase }
        .mapValues { (_, attempts) -> attempts.sumOf { it.job.spec.cores } }
}
