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
import io.otterknot.store.WriteLimits
import io.otterknot.store.utf8Bytes
import kotlin.math.abs

/**
 * Publishes the load of a partition, by which all controllers assign jobs to partitions. The load is written when it
 * has changed by a tenth, and at most every two seconds, since each write is delivered to the watch of every
 * controller. Owns the time of the last publication of each zone.
 */
class PartitionLoadPublisher(
    private val replica: StoreReplica,
    /** The teams with a quota limit, whose quota needs are published too. */
    private val limitedTeams: List<String>,
    private val limits: WriteLimits,
    private val nowMs: () -> Long,
    /** Returns the pressure that load spread publishes with the load, or null while load spread is off. */
    private val pressureOf: (Partition) -> PressureRecord? = { null },
) : PartitionWriteSource {
    private val lastPublishedMsByZone = HashMap<String, Long>()

    override fun writes(partition: Partition): List<PendingWrite> {
        val now = nowMs()
        val lastMs = lastPublishedMsByZone[partition.zone]
        if (lastMs != null && now - lastMs < MIN_INTERVAL_MS) return emptyList()
        val key = StoreKeys.partitionLoad(partition.zone)
        val current = withinValueLimit(currentLoad(partition))
        val published = replica[key]?.let { decodeRecord(PartitionLoadRecord.serializer(), it.value) }
        if (published != null && isClose(published, current)) return emptyList()
        lastPublishedMsByZone[partition.zone] = now
        return listOf(PendingWrite(key, encodeRecord(PartitionLoadRecord.serializer(), current)))
    }

    private fun currentLoad(partition: Partition): PartitionLoadRecord {
        val needs = limitedTeams
            .associateWith { partition.quota.need(it) }
            .filterValues { it.cores > 0 || it.gpus > 0 }
        return PartitionLoadRecord(
            meanLoad = round(partition.load.mean()),
            cores = partition.load.totalCores,
            ordinaryMeanLoad = round(partition.load.ordinaryMean()),
            ordinaryCores = partition.load.ordinaryCores,
            quotaNeeds = needs,
            pressure = pressureOf(partition),
        )
    }

    /**
     * Returns [load] without its pressure, and then with only its largest needs, if its value would be larger than the
     * store accepts. With very many teams, that is better than a load that is not published at all.
     */
    private fun withinValueLimit(load: PartitionLoadRecord): PartitionLoadRecord {
        if (fits(load)) return load
        val withoutPressure = load.copy(pressure = null)
        if (fits(withoutPressure)) return withoutPressure
        val largestFirst = load.quotaNeeds.entries.sortedByDescending { it.value.cores }
        fun withLargestNeeds(count: Int) =
            withoutPressure.copy(quotaNeeds = largestFirst.take(count).associate { it.key to it.value })
        var fitting = 0
        var tooMany = largestFirst.size
        while (tooMany - fitting > 1) {
            val count = (fitting + tooMany) / 2
            if (fits(withLargestNeeds(count))) fitting = count else tooMany = count
        }
        return withLargestNeeds(fitting)
    }

    private fun fits(load: PartitionLoadRecord): Boolean =
        encodeRecord(PartitionLoadRecord.serializer(), load).utf8Bytes <= limits.maxValueBytes

    private fun isClose(published: PartitionLoadRecord, current: PartitionLoadRecord): Boolean =
        abs(published.meanLoad - current.meanLoad) < MIN_CHANGE &&
            abs(published.ordinaryMeanLoad - current.ordinaryMeanLoad) < MIN_CHANGE &&
            published.quotaNeeds == current.quotaNeeds &&
            isPressureClose(published.pressure, current.pressure, current.cores)

    /** Whether the cores of no team have changed by a tenth of the partition's cores or more. */
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

    private fun round(value: Double) = Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR.toDouble()

    private companion object {
        /** The smallest published change of a mean load; for a team's cores, as a share of the partition's cores. */
        const val MIN_CHANGE = 0.1
        const val MIN_INTERVAL_MS = 2_000L

        /** Mean loads are published with three decimals, to keep the record short. */
        const val ROUNDING_FACTOR = 1000
    }
}
