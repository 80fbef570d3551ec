package io.otterknot.cli

import io.otterknot.ownership.Ownership
import io.otterknot.placement.Part
import io.otterknot.state.DoneRecord
import io.otterknot.state.Final
import io.otterknot.state.Job
import io.otterknot.state.JobRecord
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
import io.otterknot.wire.Change
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
    private val nowMs: () -> Long,
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
    private fun wishes(part: Part): List<Wish> = machines(part) + completions(part) + listOfNotNull(override(part), mean(part))

    /** That an earlier owner may still act is of no interest any more once it surely does not. */
    private fun override(part: Part): Wish? =
        if (replica[Keys.override(part.zone)] != null && nowMs() > part.othersUntilMs) Wish(Keys.override(part.zone), null) else null

    // ---- machines

    private fun machines(part: Part): List<Wish> {
        val fresh = part.unregistered()
        if (fresh.isEmpty() && part.retired.isEmpty()) return emptyList()
        val room = maxBytes / MACHINE_BYTES
        val changed = Segments.spread(replica.machineSegments(part.zone), part.retired, fresh.associate { it.id to it.type.name }, room)
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
        val fresh = LinkedHashMap<String, BitSet>()
        for (held in part.jobs) {
            if (held.fresh.isEmpty) continue
            for (chunk in 0..(held.fresh.length() - 1) / TaskBits.CHUNK) fresh[TaskBits.name(held.id, chunk)] = held.fresh
        }
        var number = segments.keys.filter { it.startsWith("$prefix${part.token}-") }.maxOfOrNull { it.substringAfterLast('-').toInt() } ?: 0
        fun key() = Keys.done(part.zone, "${part.token}-$number")
        val open = key()
        if (fresh.isNotEmpty()) {
            var bits = segments[open].orEmpty().filterKeys(jobs::matters).toMutableMap()
            var bytes = bits.entries.sumOf { size(it.key, it.value) }
            for ((name, tasks) in fresh) {
                val all = tasks.clone() as BitSet
                val chunk = TaskBits.chunk(name)
                bits[name]?.let { TaskBits.decodeInto(it, chunk, all) }
                val text = TaskBits.encode(all, chunk)
                val more = size(name, text) - (bits[name]?.let { size(name, it) } ?: 0)
                if (bytes + more > maxBytes && bits.isNotEmpty()) {
                    wishes.add(wish(key(), bits))
                    number++
                    bits = HashMap()
                    bytes = 0
                }
                bits[name] = text
                bytes += more
            }
            wishes.add(wish(key(), bits))
        }
        for ((key, bits) in segments) {
            if (wishes.none { it.key == key } && bits.keys.none(jobs::matters)) wishes.add(Wish(key, null))
        }
        return wishes
    }

    private fun size(name: String, text: String) = name.length + text.length + 6

    private fun wish(key: String, bits: Map<String, String>) = Wish(key, encodeRecord(DoneRecord.serializer(), DoneRecord(bits)))

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
        if (told != null && abs(told.mean - mean) < MEAN_STEP && abs(told.ordinaryMean - ordinary) < MEAN_STEP && told.needs == needs) return null
        meanSentMs[part.zone] = now
        return Wish(key, encodeRecord(MeanRecord.serializer(), MeanRecord(mean, part.totalCores, ordinary, part.ordinaryCores, needs)))
    }

    // ---- finished jobs

    /** The owner of a job's home part makes it final once the completions of all its tasks are durable. */
    private suspend fun finishJobs() {
        val complete = jobs.live.values.filter { job -> job.complete && job.record?.homeZone?.let(ownership::claimed) != null }
        for ((home, ended) in complete.groupBy { it.record?.homeZone.orEmpty() }) {
            for (batch in ended.chunked(minOf(budget.most, BATCH))) if (!finish(home, batch)) return
        }
    }

    private suspend fun finish(home: String, batch: List<Job>): Boolean {
        val owner = ownership.guard(home) ?: return true
        budget.takeSpare(batch.size)
        val guards = batch.map { Guard(Keys.job(it.id), it.version) } + owner
        val changes = batch.map { job ->
            Change(put = Keys.job(job.id), value = encodeRecord(JobRecord.serializer(), JobRecord(final = Final.DONE, tasks = job.spec?.tasks ?: job.record?.tasks ?: 0)))
        }
        return when (val outcome = client.txn(guards, changes)) {
            is TxnOutcome.Applied -> {
                log.debug("done: {}", batch.map { it.id })
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
