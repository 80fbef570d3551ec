package io.otterknot.rebalance

import io.otterknot.scheduling.Resources
import io.otterknot.wire.JobSpec

/** The pressure on all partitions, as one controller sees it at one moment. */
class ClusterPressure(val partitions: Map<String, PartitionPressure>, private val teams: Map<String, TeamEntitlement>) {
    private val runS = partitions.values.mapNotNull { it.meanRunS }.ifEmpty { null }?.average() ?: DEFAULT_RUN_TIME_S

    /** Only cores, unless all leaders publish the memory and GPUs of their machines. */
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

    /** What [team] uses in all partitions whose leaders publish it; too low if one does not. */
    fun used(team: String): Resources = used[team] ?: Resources.NONE

    fun dominantShare(team: String): Double = used(team).dominantShare(capacity)

    /** The share of the cluster that each team is due. */
    val fairShares: Map<String, Double> by lazy(LazyThreadSafetyMode.NONE) {
        FairShares.of(teams.map { (team, terms) -> demand(team, terms) })
    }

    private fun demand(team: String, terms: TeamEntitlement): TeamDemand {
        val waiting = partitions.values.sumOf { it.teams?.get(team)?.waitingCores ?: 0.0 }
        val demand = (used(team) + Resources(cores = waiting)).dominantShare(capacity)
        val guaranteed = Resources(cores = terms.guaranteedCores, gpus = terms.guaranteedGpus)
        return TeamDemand(team, demand, guaranteed.dominantShare(capacity), terms.weight)
    }

    /**
     * Of what a team uses in [zone], how much is above its guarantee: its excess in all partitions falls on each in
     * proportion to what it uses there, so leaders that decide independently do not take more than that together.
     */
    fun excessCores(team: String, zone: String): Double {
        val all = used(team).cores
        val terms = teams[team]
        if (all <= 0 || terms == null) return 0.0
        val here = partitions[zone]?.teams?.get(team)?.used?.cores ?: 0.0
        return maxOf(0.0, all - terms.guaranteedCores) * here / all
    }

    /**
     * Expected wait in seconds of a further task of [team] in [zone]. With free capacity it is proportional to the mean
     * load, as in Saqr. With a queue the team waits for its own waiting tasks at its share of the cores, since fair
     * share serves the teams in turn, but never longer than for the whole queue.
     */
    fun waitS(team: String, zone: String, spec: JobSpec): Double {
        val partition = partitions.getValue(zone)
        val runS = partition.meanRunS ?: runS
        val mean = partition.meanFor(spec)
        if (mean <= 1.0) return mean * runS
        val queue = mean - 1.0
        val own = partition.teams?.let { ownQueue(team, partition, it) } ?: queue
        return (1.0 + minOf(queue, own)) * runS
    }

    private fun ownQueue(team: String, partition: PartitionPressure, there: Map<String, TeamPressure>): Double {
        val contending = there.filter { (_, pressure) -> pressure.waitingCores > 0 }.keys + team
        val weight = teams[team]?.weight ?: 1.0
        val share = weight / contending.sumOf { teams[it]?.weight ?: 1.0 }
        val waiting = there[team]?.waitingCores ?: 0.0
        return waiting / (maxOf(partition.capacity.cores, 1.0) * share)
    }

    /** How long tasks run in [zone]. */
    fun runS(zone: String): Double = partitions[zone]?.meanRunS ?: runS

    private companion object {
        const val DEFAULT_RUN_TIME_S = 15.0
    }
}
