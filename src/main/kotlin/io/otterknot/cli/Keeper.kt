package io.otterknot.cli

import io.otterknot.ownership.Ownership
import io.otterknot.placement.Part
import io.otterknot.placement.PartJob
import io.otterknot.state.DoneRecord
import io.otterknot.state.Final
import io.otterknot.state.Job
import io.otterknot.state.JobChanges
import io.otterknot.state.JobTable
import io.otterknot.state.Keys
import io.otterknot.state.MachinesRecord
import io.otterknot.state.MeanRecord
import io.otterknot.state.RateBudget
import io.otterknot.state.Replica
import io.otterknot.state.Segments
import io.otterknot.state.StateClient
import io.otterknot.state.TaskBits
import io.otterknot.state.TxnOutcome
import io.otterknot.state.Wish
import io.otterknot.state.Writer
import io.otterknot.state.decodeRecord
import io.otterknot.state.encodeRecord
import io.otterknot.wire.Guard
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.util.BitSet
import kotlin.math.abs

/** Keeps durable what the owned parts learn: machines before their first task, completions, finished jobs, means. */
class Keeper(
    private val client: StateClient,
    private val replica: Replica,
    private val jobs: JobTable,
    private val parts: Map<String, Part>,
    private val ownership: Ownership,
    private val writer: Writer,
    private val budget: RateBudget,
    /** The most bytes that the records of one key may take. */
    private val maxBytes: Int,
    private val teams: List<String>,
    private val txnOps: Int,
    private val nowMs: () -> Long,
    private val wallMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(Keeper::class.java)
    private val meanSentMs = HashMap<String, Long>()

    suspend fun keep() {
        while (true) {
            delay(PAUSE_MS)
            if (!replica.loaded) continue
            for (part in parts.values.toList()) {
                val guard = ownership.guard(part.zone) ?: continue
                if (guard.version != part.token) continue
                writer.write(guard, wishes(part)) { ownership.superseded(part.zone) }
            }
            finishJobs()
        }
    }

    /** The most pressing first: a batch may not take all. */
    private fun wishes(part: Part): List<Wish> =
        machines(part) + completions(part) + listOfNotNull(override(part), mean(part))

    /** That an earlier owner may still act is of no interest any more once it surely does not. */
    private fun override(part: Part): Wish? = if (replica[Keys.override(part.zone)] != null &&
        nowMs() > part.othersUntilMs
    ) {
        Wish(Keys.override(part.zone), null)
    } else {
        null
    }

    // ---- machines

    private fun machines(part: Part): List<Wish> {
        val fresh = part.unregistered()
        if (fresh.isEmpty() && part.retired.isEmpty()) return emptyList()
        val room = maxBytes / MACHINE_BYTES
        val changed = Segments.spread(
            replica.machineSegments(part.zone),
            part.retired,
            fresh.associate {
                it.id to
                    it.type.name
            },
            room,
        )
        return changed.map { (segment, types) ->
            val value = if (types.isEmpty()) null else encodeRecord(MachinesRecord.serializer(), MachinesRecord(types))
            Wish(Keys.machines(part.zone, segment), value)
        }
    }

    // ---- completions

    /**
     * Completions of all jobs go to one segment until it is full; what is said there of jobs that are over is dropped
     * with the next change. A segment that says nothing any more is removed.
     */
    private fun completions(part: Part): List<Wish> {
        val prefix = Keys.done(part.zone, "")
        val segments = jobs.segments(prefix)
        val wishes = ArrayList<Wish>()
        val fresh = LinkedHashMap<String, PartJob>()
        for (held in part.jobs) {
            if (held.fresh.isEmpty) continue
            for (chunk in 0..(held.fresh.length() - 1) / TaskBits.chunkOf(held.spec.tasks)) {
                fresh[TaskBits.name(held.id, chunk)] =
                    held
            }
        }
        var number =
            segments.keys.filter {
                it.startsWith("$prefix${part.token}-")
            }.maxOfOrNull { it.substringAfterLast('-').toInt() }
                ?: 0
        fun key() = Keys.done(part.zone, "${part.token}-$number")
        val open = key()
        if (fresh.isNotEmpty()) {
            var segment = Segment(segments[open] ?: DoneRecord())
            for ((name, held) in fresh) {
                val size = TaskBits.chunkOf(held.spec.tasks)
                val chunk = TaskBits.chunk(name)
                val all = held.fresh.clone() as BitSet
                segment.of(size)[name]?.let { TaskBits.decodeInto(it, chunk, all, size) }
                val text = TaskBits.encode(all, chunk, size)
                if (!segment.fits(name, text, size)) {
                    wishes.add(Wish(key(), segment.value()))
                    number++
                    segment = Segment(DoneRecord())
                    segment.of(size)[name] = TaskBits.encode(held.fresh, chunk, size)
                } else {
                    segment.of(size)[name] = text
                }
            }
            wishes.add(Wish(key(), segment.value()))
        }
        for ((key, record) in segments) {
            val says = (record.bits.keys + record.fine?.keys.orEmpty()).any(jobs::matters)
            if (!says && wishes.none { it.key == key }) wishes.add(Wish(key, null))
        }
        return wishes
    }

    /** A segment as it shall be, without what is said of jobs that are over. */
    private inner class Segment(record: DoneRecord) {
        private val bits = record.bits.filterKeys(jobs::matters).toMutableMap()
        private val fine = record.fine.orEmpty().filterKeys(jobs::matters).toMutableMap()

        fun of(chunkSize: Int): MutableMap<String, String> = if (chunkSize == TaskBits.CHUNK) bits else fine

        /**
         * Whether it may hold [text] under [name] besides, or holds nothing yet; one that is too large already takes no
         * more.
         */
        fun fits(name: String, text: String, chunkSize: Int): Boolean {
            val others =
                listOf(bits, fine).sumOf { said -> said.entries.sumOf { size(it.key, it.value) } } -
                    (of(chunkSize)[name]?.let { size(name, it) } ?: 0)
            return (bits.isEmpty() && fine.isEmpty()) || others + size(name, text) <= maxBytes
        }

        fun value() = encodeRecord(DoneRecord.serializer(), DoneRecord(bits, fine.ifEmpty { null }))

        private fun size(name: String, text: String) = name.length + text.length + 6
    }

    // ---- means

    /** The part's mean, once it has moved by a tenth and at most every two seconds. */
    private fun mean(part: Part): Wish? {
        val now = nowMs()
        if (now - (meanSentMs[part.zone] ?: Long.MIN_VALUE / 2) < MEAN_EVERY_MS) return null
        val key = Keys.mean(part.zone)
        val told = replica[key]?.let { decodeRecord(MeanRecord.serializer(), it.value) }
        val mean = round(part.mean())
        val ordinary = round(part.ordinaryMean())
        val needs = teams.associateWith { part.need(it) }.filterValues { it.cores > 0 || it.cards > 0 }
        if (told != null && abs(told.mean - mean) < MEAN_STEP && abs(told.ordinaryMean - ordinary) < MEAN_STEP &&
            told.needs == needs
        ) {
            return null
        }
        meanSentMs[part.zone] = now
        return Wish(
            key,
            encodeRecord(
                MeanRecord.serializer(),
                MeanRecord(mean, part.totalCores, ordinary, part.ordinaryCores, needs),
            ),
        )
    }

    // ---- finished jobs

    /**
     * The owner of a job's home part makes it final once the completions of all its tasks are durable, or once a job
     * that it awaits is cancelled; users are told of the latter without waiting for it.
     */
    private suspend fun finishJobs() {
        val over = jobs.live.values.filter { job ->
            (job.complete || job.needs.orphaned) &&
                job.record?.homeZone?.let(ownership::claimed) != null
        }
        for ((home, ended) in over.groupBy { it.record?.homeZone.orEmpty() }) {
            for (batch in ended.chunked(minOf(budget.most, txnOps, BATCH))) {
                // What brings keys of its own to remove is ended by itself.
                val (large, small) = batch.partition { (it.record?.awaitKeys ?: 0) > 0 }
                for (group in large.map(::listOf) + listOf(small)) {
                    if (group.isNotEmpty() &&
                        !finish(home, group)
                    ) {
                        return
                    }
                }
            }
        }
    }

    private suspend fun finish(home: String, batch: List<Job>): Boolean {
        val owner = ownership.guard(home) ?: return true
        val guards = batch.map { Guard(Keys.job(it.id), it.version) } + owner
        val changes = batch.flatMap {
            JobChanges.end(it, if (it.needs.orphaned) Final.CANCELLED else Final.DONE, wallMs())
        }
        budget.takeSpare(changes.size)
        return when (val outcome = client.txn(guards, changes)) {
            is TxnOutcome.Applied -> {
                log.debug("done or cancelled: {}", batch.map { it.id })
                replica.reach(outcome.revision, REACH_MS)
            }

            // Some job was cancelled or handed on meanwhile; what the replica then shows is tried again.
            is TxnOutcome.Conflict -> replica.reach(outcome.revision, REACH_MS)

            is TxnOutcome.Refused, is TxnOutcome.Unknown -> false
        }
    }

    private fun round(value: Double) = Math.round(value * 1000) / 1000.0

    private companion object {
        const val PAUSE_MS = 200L
        const val MEAN_STEP = 0.1
        const val MEAN_EVERY_MS = 2_000L
        const val REACH_MS = 1_500L
        const val BATCH = 8
        const val MACHINE_BYTES = 40
    }
}
