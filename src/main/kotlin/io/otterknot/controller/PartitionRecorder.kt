package io.otterknot.controller

import io.otterknot.ownership.Ownership
import io.otterknot.placement.Part
import io.otterknot.state.Keys
import io.otterknot.state.MachinesRecord
import io.otterknot.state.MeanRecord
import io.otterknot.state.PendingWrite
import io.otterknot.state.Replica
import io.otterknot.state.Segments
import io.otterknot.state.WriteLimits
import io.otterknot.state.Writer
import io.otterknot.state.decodeRecord
import io.otterknot.state.encodeRecord
import kotlinx.coroutines.delay
import kotlin.math.abs

/**
 * Makes durable what the owned partitions learn: machines before their first task, completions, finished jobs and
 * means. Runs in one coroutine.
 */
class PartitionRecorder(
    private val replica: Replica,
    private val parts: Map<String, Part>,
    private val ownership: Ownership,
    private val writer: Writer,
    private val completions: CompletionSegments,
    private val finisher: JobFinisher,
    private val limits: WriteLimits,
    private val limitedTeams: List<String>,
    private val nowMs: () -> Long,
) {
    private val meanSentMs = HashMap<String, Long>()

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PAUSE_MS)
            if (!replica.loaded) continue
            for (part in parts.values.toList()) {
                val guard = ownership.guard(part.zone) ?: continue
                if (guard.version != part.token) continue
                writer.write(guard, writes(part)) { ownership.superseded(part.zone) }
            }
            finisher.finishAll()
        }
    }

    /** The most pressing first: a batch may not take all. */
    private fun writes(part: Part): List<PendingWrite> =
        machines(part) + completions.writes(part) + listOfNotNull(overrideEnd(part), mean(part))

    /** Removes the mark that an earlier owner may still act, once it surely does not. */
    private fun overrideEnd(part: Part): PendingWrite? {
        val key = Keys.override(part.zone)
        if (replica[key] == null || nowMs() <= part.othersUntilMs) return null
        return PendingWrite(key, null)
    }

    private fun machines(part: Part): List<PendingWrite> {
        val added = part.unregistered().associate { it.id to it.type.name }
        if (added.isEmpty() && part.retired.isEmpty()) return emptyList()
        val stored = replica.machineSegments(part.zone)
        val changed = Segments.spread(stored, part.retired, added, limits.recordBytes / MACHINE_BYTES)
        val earlier = LinkedHashSet<String>()
        return changed.map { (segment, types) ->
            val key = Keys.machines(part.zone, segment)
            val value = if (types.isEmpty()) null else encodeRecord(MachinesRecord.serializer(), MachinesRecord(types))
            // A machine must be in some segment at any time: what loses one is written after what takes it.
            val moved = stored[segment].orEmpty().keys - types.keys - part.retired
            val after = if (moved.isEmpty()) emptySet() else earlier.toSet()
            earlier.add(key)
            PendingWrite(key, value, after)
        }
    }

    /** The partition's mean, once it has moved by a tenth and at most every two seconds. */
    private fun mean(part: Part): PendingWrite? {
        val now = nowMs()
        if (now - (meanSentMs[part.zone] ?: Long.MIN_VALUE / 2) < MEAN_EVERY_MS) return null
        val key = Keys.mean(part.zone)
        val needs = limitedTeams.associateWith { part.need(it) }.filterValues { it.cores > 0 || it.cards > 0 }
        val current = MeanRecord(
            mean = round(part.mean()),
            cores = part.totalCores,
            ordinaryMean = round(part.ordinaryMean()),
            ordinaryCores = part.ordinaryCores,
            needs = needs,
        )
        val published = replica[key]?.let { decodeRecord(MeanRecord.serializer(), it.value) }
        if (published != null && isClose(published, current)) return null
        meanSentMs[part.zone] = now
        return PendingWrite(key, encodeRecord(MeanRecord.serializer(), current))
    }

    private fun isClose(published: MeanRecord, current: MeanRecord): Boolean =
        abs(published.mean - current.mean) < MEAN_STEP &&
            abs(published.ordinaryMean - current.ordinaryMean) < MEAN_STEP &&
            published.needs == current.needs

    private fun round(value: Double) = Math.round(value * 1000) / 1000.0

    private companion object {
        const val PAUSE_MS = 200L
        const val MEAN_STEP = 0.1
        const val MEAN_EVERY_MS = 2_000L

        /** What one machine takes in a segment. */
        const val MACHINE_BYTES = 40
    }
}
