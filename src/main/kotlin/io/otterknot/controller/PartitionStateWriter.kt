package io.otterknot.controller

import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import io.otterknot.records.MachineSegmentRecord
import io.otterknot.records.PartitionLoadRecord
import io.otterknot.records.PressureRecord
import io.otterknot.records.RecordSegments
import io.otterknot.records.StoreKeys
import io.otterknot.records.TeamPressureRecord
import io.otterknot.records.decodeRecord
import io.otterknot.records.encodeRecord
import io.otterknot.store.BatchWriter
import io.otterknot.store.PendingWrite
import io.otterknot.store.StoreReplica
import io.otterknot.store.WriteLimits
import kotlinx.coroutines.delay
import kotlin.math.abs

/**
 * Makes durable what the owned partitions learn: machines before their first task, completions, finished jobs and
 * means. Runs in one coroutine.
 */
class PartitionStateWriter(
    private val replica: StoreReplica,
    private val partitions: Map<String, Partition>,
    private val ownership: PartitionLeadership,
    private val writer: BatchWriter,
    private val completions: CompletionSegments,
    private val finisher: JobFinalizer,
    private val limits: WriteLimits,
    private val limitedTeams: List<String>,
    private val nowMs: () -> Long,
    /** What else is published with a partition's mean; null: nothing. */
    private val pressureOf: (Partition) -> PressureRecord? = { null },
) {
    private val meanSentMs = HashMap<String, Long>()

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PAUSE_MS)
            if (!replica.isLoaded) continue
            for (partition in partitions.values.toList()) {
                val guard = ownership.leadershipCondition(partition.zone) ?: continue
                if (guard.version != partition.fencingToken) continue
                writer.write(guard, writes(partition)) { ownership.leadershipLost(partition.zone) }
            }
            finisher.finishAll()
        }
    }

    /** The most pressing first: a batch may not take all. */
    private fun writes(partition: Partition): List<PendingWrite> =
        machines(partition) + completions.writes(partition) + listOfNotNull(overrideEnd(partition), mean(partition))

    /** Removes the mark that an earlier owner may still act, once it surely does not. */
    private fun overrideEnd(partition: Partition): PendingWrite? {
        val key = StoreKeys.takeoverMarker(partition.zone)
        if (replica[key] == null || nowMs() <= partition.priorLeaderUntilMs) return null
        return PendingWrite(key, null)
    }

    private fun machines(partition: Partition): List<PendingWrite> {
        val added = partition.fleet.unregistered().associate { it.id to it.type.name }
        if (added.isEmpty() && partition.fleet.released.isEmpty()) return emptyList()
        val stored = replica.machineSegments(partition.zone)
        val changed = RecordSegments.spread(
            stored,
            partition.fleet.released,
            added,
            limits.maxRecordBytes / MACHINE_BYTES,
        )
        val earlier = LinkedHashSet<String>()
        return changed.map { (segment, types) ->
            val key = StoreKeys.machineSegment(partition.zone, segment)
            val value = if (types.isEmpty()) {
                null
            } else {
                encodeRecord(
                    MachineSegmentRecord.serializer(),
                    MachineSegmentRecord(types),
                )
            }
            // A machine must be in some segment at any time: what loses one is written after what takes it.
            val moved = stored[segment].orEmpty().keys - types.keys - partition.fleet.released
            val after = if (moved.isEmpty()) emptySet() else earlier.toSet()
            earlier.add(key)
            PendingWrite(key, value, after)
        }
    }

    /** The partition's mean, once it has moved by a tenth and at most every two seconds. */
    private fun mean(partition: Partition): PendingWrite? {
        val now = nowMs()
        if (now - (meanSentMs[partition.zone] ?: Long.MIN_VALUE / 2) < MEAN_EVERY_MS) return null
        val key = StoreKeys.partitionLoad(partition.zone)
        val needs = limitedTeams.associateWith { partition.quota.need(it) }.filterValues { it.cores > 0 || it.cards > 0 }
        val current = PartitionLoadRecord(
            mean = round(partition.load.mean()),
            cores = partition.load.totalCores,
            ordinaryMean = round(partition.load.ordinaryMean()),
            ordinaryCores = partition.load.ordinaryCores,
            needs = needs,
            pressure = pressureOf(partition),
        )
        val published = replica[key]?.let { decodeRecord(PartitionLoadRecord.serializer(), it.value) }
        if (published != null && isClose(published, current)) return null
        meanSentMs[partition.zone] = now
        return PendingWrite(key, encodeRecord(PartitionLoadRecord.serializer(), current))
    }

    private fun isClose(published: PartitionLoadRecord, current: PartitionLoadRecord): Boolean =
        abs(published.mean - current.mean) < MEAN_STEP &&
            abs(published.ordinaryMean - current.ordinaryMean) < MEAN_STEP &&
            published.needs == current.needs &&
            isPressureClose(published.pressure, current.pressure, current.cores)

    /** What a team uses is published anew like the mean, once it has moved by a tenth of the partition. */
    private fun isPressureClose(published: PressureRecord?, current: PressureRecord?, cores: Double): Boolean {
        if (published == null || current == null) return published == current
        val step = MEAN_STEP * maxOf(cores, 1.0)
        return (published.teams.keys + current.teams.keys).all { team ->
            val before = published.teams[team] ?: TeamPressureRecord()
            val now = current.teams[team] ?: TeamPressureRecord()
            abs(before.cores - now.cores) < step && abs(before.waitingCores - now.waitingCores) < step
        }
    }

    private fun round(value: Double) = Math.round(value * 1000) / 1000.0

    private companion object {
        const val PAUSE_MS = 200L
        const val MEAN_STEP = 0.1
        const val MEAN_EVERY_MS = 2_000L

        /** What one machine takes in a segment. */
        const val MACHINE_BYTES = 40
    }
}
