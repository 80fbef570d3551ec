package io.otterknot.rebalance

import io.otterknot.config.TeamSettings
import io.otterknot.partition.Partition
import io.otterknot.records.PressureRecord
import io.otterknot.records.TeamPressureRecord
import io.otterknot.scheduling.PartitionView
import io.otterknot.scheduling.Resources

/**
 * Determines the pressure on each partition: for partitions that this controller leads from their state, which is
 * maintained incrementally; for others from the record that their leader publishes with the mean load.
 */
class PressureTracker(
    teams: List<TeamSettings>,
    private val partitions: Map<String, Partition>,
    private val views: Map<String, PartitionView>,
) {
    private val entitlements: Map<String, TeamEntitlement> = teams.associate {
        it.name to TeamEntitlement(it.cpus, it.gpus, weight = if (it.cpus > 0) it.cpus else 1.0)
    }

    /** Returns the current pressure on all partitions. */
    fun clusterPressure(): ClusterPressure {
        val all = views.keys.associateWith { zone ->
            partitions[zone]?.let(::fromPartition) ?: fromPublishedRecord(views.getValue(zone))
        }
        return ClusterPressure(all, entitlements)
    }

    /** Returns the record that the leader of [partition] publishes with its mean load. */
    fun record(partition: Partition): PressureRecord {
        val capacity = partition.load.totalResources
        return PressureRecord(
            teams = teams(partition).filterValues { it != TeamPressure() }.mapValues { (_, team) ->
                TeamPressureRecord(
                    cores = team.used.cores,
                    memoryGb = team.used.memoryGb,
                    gpus = team.used.gpus,
                    waitingCores = team.waitingCores,
                    oldestReadyMs = team.oldestReadyMs,
                )
            },
            memoryGb = capacity.memoryGb,
            gpus = capacity.gpus,
            meanRunS = meanRunS(partition)?.let { Math.round(it * 10) / 10.0 },
            images = images(partition),
            fetchFactor = Math.round(partition.fetchTimes.factor * 10) / 10.0,
        )
    }

    private fun fromPartition(partition: Partition): PartitionPressure {
        val load = partition.load
        return PartitionPressure(
            zone = partition.zone,
            capacity = load.totalResources,
            ordinaryCores = load.ordinaryCores,
            mean = load.mean(),
            ordinaryMean = load.ordinaryMean(),
            meanRunS = meanRunS(partition),
            fetchFactor = partition.fetchTimes.factor,
            images = images(partition).toSet(),
            teams = teams(partition),
        )
    }

    private fun meanRunS(partition: Partition): Double? = partition.meanRunMs?.let { it / 1000 }

    private fun images(partition: Partition): List<String> {
        val fewest = maxOf(1, (partition.machines.size * COMMON_IMAGE_MACHINE_SHARE).toInt())
        return partition.imageCounts.mostCommon(MAX_PUBLISHED_IMAGES, fewest)
    }

    private fun teams(partition: Partition): Map<String, TeamPressure> {
        partition.waitingWork.follow(partition.jobs)
        return partition.teamNames.withIndex().associate { (index, name) -> name to team(partition, index) }
    }

    private fun team(partition: Partition, index: Int): TeamPressure {
        val waiting = partition.waitingWork.ofTeam(index)
        return TeamPressure(partition.quota.usage(index), waiting.resources.cores, waiting.oldestReadyMs)
    }

    private fun fromPublishedRecord(view: PartitionView): PartitionPressure {
        val record = view.pressure
        return PartitionPressure(
            zone = view.zone,
            capacity = Resources(view.cores, record?.memoryGb ?: 0.0, record?.gpus ?: 0.0),
            ordinaryCores = view.ordinaryCores,
            mean = view.mean,
            ordinaryMean = view.ordinaryMean,
            meanRunS = record?.meanRunS,
            fetchFactor = record?.fetchFactor ?: 1.0,
            images = record?.images.orEmpty().toSet(),
            teams = record?.teams?.mapValues { (_, team) ->
                val used = Resources(team.cores, team.memoryGb, team.gpus)
                TeamPressure(used, team.waitingCores, team.oldestReadyMs)
            },
        )
    }

    private companion object {
        /**
         * An image on this share of the machines, rounded down, is published: of two sampled machines, at least one
         * then has it in 51% of cases.
         */
        const val COMMON_IMAGE_MACHINE_SHARE = 0.3
        const val MAX_PUBLISHED_IMAGES = 12
    }
}
