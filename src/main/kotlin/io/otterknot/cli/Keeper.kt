package io.otterknot.cli

import io.otterknot.ownership.Ownership
import io.otterknot.placement.Part
import io.otterknot.state.Final
import io.otterknot.state.Job
import io.otterknot.state.JobRecord
import io.otterknot.state.JobTable
import io.otterknot.state.Keys
import io.otterknot.state.MachineRecord
import io.otterknot.state.MeanRecord
import io.otterknot.state.RateBudget
import io.otterknot.state.Replica
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
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
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
    private val maxChanges: Int,
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

    private fun wishes(part: Part): List<Wish> {
        val wishes = ArrayList<Wish>()
        for (machine in part.unregistered()) {
            wishes.add(Wish(Keys.machine(part.zone, machine.id), encodeRecord(MachineRecord.serializer(), MachineRecord(machine.type.name))))
        }
        for (held in part.jobs) {
            var next = held.fresh.nextSetBit(0)
            while (next >= 0) {
                val chunk = next / TaskBits.CHUNK
                wishes.add(completions(part, held.job, held.fresh, chunk))
                next = held.fresh.nextSetBit((chunk + 1) * TaskBits.CHUNK)
            }
        }
        // A machine that is gone for good is no suspect for the next owner.
        for (id in part.retired) wishes.add(Wish(Keys.machine(part.zone, id), null))
        mean(part)?.let(wishes::add)
        return wishes
    }

    private fun completions(part: Part, job: Job, fresh: BitSet, chunk: Int): Wish {
        val key = Keys.done(job.id, part.zone, chunk)
        val bits = fresh.clone() as BitSet
        (replica[key]?.value as? JsonPrimitive)?.contentOrNull?.let { TaskBits.decodeInto(it, chunk, bits) }
        return Wish(key, JsonPrimitive(TaskBits.encode(bits, chunk)))
    }

    /** The part's mean, once it has moved by a tenth and at most every two seconds. */
    private fun mean(part: Part): Wish? {
        val key = Keys.mean(part.zone)
        val told = replica[key]?.let { decodeRecord(MeanRecord.serializer(), it.value) }
        val mean = round(part.mean())
        val ordinary = round(part.ordinaryMean())
        val needs = teams.associateWith { part.need(it) }.filterValues { it.cores > 0 || it.cards > 0 }
        if (told != null && abs(told.mean - mean) < MEAN_STEP && abs(told.ordinaryMean - ordinary) < MEAN_STEP && told.needs == needs) return null
        val now = nowMs()
        if (now - (meanSentMs[part.zone] ?: Long.MIN_VALUE / 2) < MEAN_EVERY_MS) return null
        meanSentMs[part.zone] = now
        return Wish(key, encodeRecord(MeanRecord.serializer(), MeanRecord(mean, part.totalCores, ordinary, part.ordinaryCores, needs)))
    }

    /** The owner of a job's home part makes it final once the completions of all its tasks are durable. */
    private suspend fun finishJobs() {
        for (job in jobs.live.values.filter { it.complete }) {
            val home = job.record?.homeZone ?: continue
            val owner = ownership.guard(home) ?: continue
            val tasks = job.spec?.tasks ?: continue
            val key = Keys.job(job.id)
            val record = JobRecord(final = Final.DONE, tasks = tasks)
            val changes = ArrayList<Change>()
            changes.add(Change(put = key, value = encodeRecord(JobRecord.serializer(), record)))
            job.doneKeys.take(maxChanges - 1).forEach { changes.add(Change(remove = it)) }
            budget.take(changes.size)
            when (val outcome = client.txn(listOf(Guard(key, job.version), owner), changes)) {
                is TxnOutcome.Applied -> {
                    log.debug("{} is done", job.id)
                    replica.reach(outcome.revision, REACH_MS)
                }
                is TxnOutcome.Conflict -> replica.reach(outcome.revision, REACH_MS)
                is TxnOutcome.Refused, is TxnOutcome.Unknown -> return
            }
        }
    }

    private fun round(value: Double) = Math.round(value * 1000) / 1000.0

    private companion object {
        const val PAUSE_MS = 200L
        const val MEAN_STEP = 0.1
        const val MEAN_EVERY_MS = 2_000L
        const val REACH_MS = 1_500L
    }
}
