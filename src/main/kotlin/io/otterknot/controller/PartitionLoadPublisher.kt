package io.otterknot.controller

import io.otterknot.partition.Partition
import io.otterknot.records.PartitionLoadRecord
import io.otterknot.records.PressureRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.TeamPressureRecord
import io.otterknot.records.decodeRecord
import io.otterknot.records.encodeRecord
import io.otterknot.store.PendingWrite
import io.otterknot.store.StoreReplica
import kotlin.math.abs

/**
 * Publishes the load of a partition, by which all controllers place jobs: once it has changed by a tenth, and at most
 * every two seconds, since each write is a change that every watch brings. Owns the times of publication by zone.
 */
class PartitionLoadPublisher(
    private val replica: StoreReplica,
    /** Teams with a quota limit, whose needs are published too. */
    private val limitedTeams: List<String>,
    private val nowMs: () -> Long,
    /** What load spread publishes with the load; null while it is off. */
    private val pressureOf: (Partition) -> PressureRecord? = { null },
) : PartitionWriteSource {
    private val publishedMs = HashMap<String, Long>()

    override fun writes(partition: Partition): List<PendingWrite> {
        val now = nowMs()
        val lastMs = publishedMs[partition.zone]
        if (lastMs != null && now - lastMs < MIN_INTERVAL_MS) return emptyList()
        val key = StoreKeys.partitionLoad(partition.zone)
        val current = currentLoad(partition)
        val published = replica[key]?.let { decodeRecord(PartitionLoadRecord.serializer(), it.value) }
        if (published != null && isClose(published, current)) return emptyList()
        publishedMs[partition.zone] = now
        return listOf(PendingWrite(key, encodeRecord(PartitionLoadRecord.serializer(), current)))
    }

    private fun currentLoad(partition: Partition): PartitionLoadRecord {
        val needs = limitedTeams
            .associateWith { partition.quota.need(it) }
            .filterValues { it.cores > 0 || it.cards > 0 }
        return PartitionLoadRecord(
            meanLoad = round(partition.load.mean()),
            cores = partition.load.totalCores,
            ordinaryMeanLoad = round(partition.load.ordinaryMean()),
            ordinaryCores = partition.load.ordinaryCores,
            quotaNeeds = needs,
            pressure = pressureOf(partition),
        )
    }

    private fun isClose(published: PartitionLoadRecord, current: PartitionLoadRecord): Boolean =
        abs(published.meanLoad - current.meanLoad) < MIN_CHANGE &&
            abs(published.ordinaryMeanLoad - current.ordinaryMeanLoad) < MIN_CHANGE &&
            published.quotaNeeds == current.quotaNeeds &&
            isPressureClose(published.pressure, current.pressure, current.cores)

    /** Like the mean: whether no team has changed by a tenth of the partition. */
    private fun isPressureClose(published: PressureRecord?, current: PressureRecord?, cores: Double): Boolean {
        if (published == null || current == null) return published == current
        val minChangeCores = MIN_CHANGE * maxOf(cores, 1.0)
        return (published.teams.keys + current.teams.keys).all { team ->
            val before = published.teams[team] ?: TeamPressureRecord()
            val now = current.teams[team] ?: TeamPressureRecord()
            abs(before.cores - now.cores) < minChangeCores &&
                abs(before.waitingCores - now.waitingCores) < minChangeCores
        }
    }

    private fun round(value: Double) = Math.round(value * ROUNDING) / ROUNDING.toDouble()

    private companion object {
        /** The smallest change of a mean load that is published; of a team's cores, as a share of the partition. */
        const val MIN_CHANGE = 0.1
        const val MIN_INTERVAL_MS = 2_000L

        /** Means are published with three decimals: more would only make the record longer. */
        const val ROUNDING = 1000
    }
}
