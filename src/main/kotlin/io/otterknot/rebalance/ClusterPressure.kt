package io.otterknot.rebalance

import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec

/** The load and team usage of all partitions at one time, as available to this controller. */
class ClusterPressure(val partitions: Map<String, PartitionPressure>, private val teams: Map<String, TeamEntitlement>) {
    private val runS = partitions.values.mapNotNull { it.meanRunS }.ifEmpty { null }?.average() ?: DEFAULT_RUN_TIME_S

    /** Total capacity; cores only, unless all leaders publish the memory and GPUs of their machines. */
    private val capacity: Resources = totalCapacity().let { total ->
        val isPublishedByAll = partitions.values.all { it.teams != null }
        if (isPublishedByAll) total else Resources(cores = total.cores)
    }

    private fun totalCapacity(): Resources =
        partitions.values.fold(Resources.NONE) { sum, partition -> sum + partition.capacity }

    private val used: Map<String, Resources> = teams.keys.associateWith { team ->
        partitions.values.fold(Resources.NONE) { sum, partition ->
            sum + (partition.teams?.get(team)?.used ?: Resources.NONE)
        }
    }

    /** Resources that [team] uses in all partitions; too low if a leader does not publish usage by team. */
    fun used(team: String): Resources = used[team] ?: Resources.NONE

    fun dominantShare(team: String): Double = used(team).dominantShare(capacity)

    /** The fair share of the cluster of each team. */
    val fairShares: Map<String, Double> by lazy(LazyThreadSafetyMode.NONE) {
        FairShares.of(teams.map { (team, entitlement) -> demand(team, entitlement) })
    }

    private fun demand(team: String, entitlement: TeamEntitlement): TeamDemand {
        val waiting = partitions.values.sumOf { it.teams?.get(team)?.waitingCores ?: 0.0 }
        val demand = (used(team) + Resources(cores = waiting)).dominantShare(capacity)
        val guaranteed = Resources(cores = entitlement.guaranteedCores, gpus = entitlement.guaranteedGpus)
        return TeamDemand(team, demand, guaranteed.dominantShare(capacity), entitlement.weight)
    }

    /**
     * Cores that [team] uses in [zone] above its guarantee. The team's excess in the cluster is divided among the
     * partitions in proportion to the cores it uses there, so that leaders that decide independently never stop more
     * than the excess in total.
     */
    fun excessCores(team: String, zone: String): Double {
        val all = used(team).cores
        val entitlement = teams[team]
        if (all <= 0 || entitlement == null) return 0.0
        val here = partitions[zone]?.teams?.get(team)?.used?.cores ?: 0.0
        return maxOf(0.0, all - entitlement.guaranteedCores) * here / all
    }

    /**
     * Expected wait in seconds of another task of [team] in [zone]. Up to a mean load of 1 it is proportional to the
     * mean load, as in Saqr. With a queue, the task waits for the team's own waiting tasks, which start at the rate of
     * the team's share of the cores because fair share alternates between teams; the wait for the entire queue is the
     * upper bound.
     */
    fun waitS(team: String, zone: String, spec: JobSpec): Double {
        val partition = partitions.getValue(zone)
        val runS = partition.meanRunS ?: runS
        val mean = partition.meanFor(spec)
        if (mean <= 1.0) return mean * runS
        val queue = mean - 1.0
        val own = partition.teams?.let { teamQueue(team, partition, it) } ?: queue
        return (1.0 + minOf(queue, own)) * runS
    }

    private fun teamQueue(team: String, partition: PartitionPressure, there: Map<String, TeamPressure>): Double {
        val contending = there.filter { (_, pressure) -> pressure.waitingCores > 0 }.keys + team
        val weight = teams[team]?.weight ?: 1.0
        val share = weight / contending.sumOf { teams[it]?.weight ?: 1.0 }
        val waiting = there[team]?.waitingCores ?: 0.0
        return waiting / (maxOf(partition.capacity.cores, 1.0) * share)
    }

    /** Mean run time of tasks in [zone] in seconds; the mean of all partitions if it is unknown there. */
    fun runS(zone: String): Double = partitions[zone]?.meanRunS ?: runS

    private companion object {
        const val DEFAULT_RUN_TIME_S = 15.0
    }
}
