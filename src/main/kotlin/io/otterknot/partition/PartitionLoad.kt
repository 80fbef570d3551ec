package io.otterknot.partition

import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.HeartbeatSpace
import io.otterknot.scheduling.PartitionView
import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec

/** The capacity of a partition, the demand on it, and its mean load, which is published to other controllers. */
class PartitionLoad(
    private val machines: PartitionMachines,
    private val jobs: PartitionJobs,
    private val teams: TeamQuotaLedger,
) {
    /** The cores of the machines in service; the other capacities also count only these machines. */
    val totalCores: Double get() = machines.all.sumOf { if (it.inService) it.type.cores else 0.0 }

    val totalResources: Resources
        get() = machines.all.fold(Resources.NONE) { sum, machine ->
            if (machine.inService) sum + Resources.of(machine.type) else sum
        }

    /** The cores of the machines that are not spot instances. */
    val ordinaryCores: Double get() = machines.all.sumOf { if (!it.spot && it.inService) it.type.cores else 0.0 }

    /**
     * Cores of the active, pending and unreconciled tasks of jobs that satisfy [predicate], up to the quota shares of
     * their teams. Heartbeat space counts like cores, here and in the means.
     */
    fun demand(predicate: (JobSpec) -> Boolean): Double {
        val machineCores = meanMachineCores()
        val coresByTeam = HashMap<Int, Double>()
        for (job in jobs.all) {
            if (!predicate(job.spec)) continue
            val taskCount = job.waitingCount + job.active.size
            val cores = taskCount * HeartbeatSpace.equivalentCores(job.spec, machineCores)
            coresByTeam.merge(job.team, cores, Double::plus)
        }
        return teams.sumWithinQuotaShares { coresByTeam[it] ?: 0.0 }
    }

    /**
     * Cores in use or requested by pending and unreconciled tasks, divided by the total cores. Tasks that wait count
     * too, like tasks in the queues of workers.
     */
    fun mean(): Double {
        val usedCores = machines.all.sumOf { if (it.leaseExpired) 0.0 else it.resources.equivalentCores }
        val machineCores = meanMachineCores()
        val waitingCores =
            jobs.all.sumOf { it.waitingCount * HeartbeatSpace.equivalentCores(it.spec, machineCores) }
        return (usedCores + waitingCores) / maxOf(totalCores, 1.0)
    }

    /** Returns the mean number of cores of the machines in service, for [HeartbeatSpace.equivalentCores]. */
    fun meanMachineCores(): Double {
        val inService = machines.all.count { it.inService }
        return if (inService > 0) totalCores / inService else PartitionView.MIN_CORES
    }

    /** The load of ordinary machines by tasks that may not run on spot instances, up to their teams' quota shares. */
    fun ordinaryMean(): Double = demand { !it.spot } / maxOf(ordinaryCores, 1.0)

    /** The booked cores, by the phase of the attempts that they are booked for. */
    fun coresByPhase(): Map<AttemptPhase, Double> = machines.all
        .flatMap { it.attempts.values }
        .groupBy { it.phase }
        .mapValues { (_, attempts) -> attempts.sumOf { it.job.spec.cores } }
}
