package io.otterknot.records

import io.otterknot.wire.JobSpec
import io.otterknot.wire.WireJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import java.util.Base64
import java.util.BitSet

/** The state of a job that no later one can follow. */
@Serializable
enum class TerminalState {
    @SerialName("d")
    DONE,

    @SerialName("a")
    CANCELLED,
}

/** Tasks [from] until [until] belong to the partition of [zone]. */
@Serializable
data class TaskSpan(@SerialName("z") val zone: String, @SerialName("f") val from: Int, @SerialName("u") val until: Int)

/**
 * A job as it is kept. Its key goes from "running" to one final state in a transaction that guards the key, so done
 * and cancelled exclude each other; what a final job needed besides is dropped with the same transaction.
 */
@Serializable
data class JobRecord(
    @SerialName("s") val spec: JobSpec? = null,
    @SerialName("a") val spans: List<TaskSpan> = emptyList(),
    @SerialName("t") val submittedMs: Long = 0,
    @SerialName("n") val nonce: String? = null,
    @SerialName("x") val final: TerminalState? = null,
    @SerialName("c") val tasks: Int = 0,
    /**
     * In how many keys of their own ([StoreKeys.dependencySegment]) the jobs that this one awaits stand; null: they stand in [spec].
     */
    @SerialName("w") val awaitKeys: Int? = null,
    /** When it became final, by the time of day of the controller that wrote so. */
    @SerialName("e") val endedMs: Long? = null,
) {
    /** The partition whose owner says that the job is done. */
    val homeZone: String? get() = spans.firstOrNull()?.zone
}

@Serializable
data class LeaderRecord(@SerialName("o") val owner: String, @SerialName("i") val incarnation: String)

/**
 * A partition as others see it: the mean of its machines' loads and the cores behind it; and the same for its ordinary
 * machines alone with the tasks that may run on no other, since those cannot use what is free on spot machines.
 */
@Serializable
data class PartitionLoadRecord(
    @SerialName("m") val mean: Double,
    @SerialName("c") val cores: Double = 0.0,
    @SerialName("om") val ordinaryMean: Double = 0.0,
    @SerialName("oc") val ordinaryCores: Double = 0.0,
    /** By team: cores and cards that waiting tasks need beyond the partition's allotment. */
    @SerialName("n") val needs: Map<String, QuotaAmount> = emptyMap(),
    /** What load spread needs to know; null where that is off, or the owner is of a version before it. */
    @SerialName("l") val pressure: PressureRecord? = null,
)

/** What presses on a partition: by team what it uses and what waits, and what decides how long work waits there. */
@Serializable
data class PressureRecord(
    @SerialName("t") val teams: Map<String, TeamPressureRecord> = emptyMap(),
    /** What its machines have besides the cores. */
    @SerialName("m") val memoryGb: Double = 0.0,
    @SerialName("g") val cards: Double = 0.0,
    /** How long tasks run there, in seconds. */
    @SerialName("r") val meanRunS: Double? = null,
    /** Images that many of its machines have. */
    @SerialName("i") val images: List<String> = emptyList(),
    /** How many times as long a fetch takes there as by the nominal rate. */
    @SerialName("f") val fetchFactor: Double = 1.0,
)

/** What one team uses in a partition, and what waits of it there. */
@Serializable
data class TeamPressureRecord(
    @SerialName("c") val cores: Double = 0.0,
    @SerialName("m") val memoryGb: Double = 0.0,
    @SerialName("g") val cards: Double = 0.0,
    @SerialName("w") val waitingCores: Double = 0.0,
    /** Since when its oldest waiting task could run, by the time of day in milliseconds; null: nothing waits. */
    @SerialName("o") val oldestReadyMs: Long? = null,
)

@Serializable
data class QuotaAmount(@SerialName("c") val cores: Double = 0.0, @SerialName("g") val cards: Double = 0.0) {
    operator fun plus(other: QuotaAmount) = QuotaAmount(cores + other.cores, cards + other.cards)
    operator fun minus(other: QuotaAmount) = QuotaAmount(cores - other.cores, cards - other.cards)
}

/**
 * How a team's limit is divided among the partitions. The sum never changes: a partition gives of its own, in one
 * transaction.
 */
@Serializable
data class QuotaSharesRecord(@SerialName("z") val byZone: Map<String, QuotaAmount>) {
    fun moved(from: String, to: String, amount: QuotaAmount): QuotaSharesRecord {
        val left = byZone.getValue(from) - amount
        require(left.cores >= 0 && left.cards >= 0) { "more than the allotment of $from" }
        return QuotaSharesRecord(byZone + (from to left) + (to to (byZone[to] ?: QuotaAmount()) + amount))
    }

    companion object {
        /** What holds until something has been moved. No limit, given as 0, is a limit that nothing reaches. */
        fun even(zones: List<String>, maxCores: Double, maxCards: Double): QuotaSharesRecord {
            fun partition(max: Double) = if (max > 0) max / zones.size else UNLIMITED
            return QuotaSharesRecord(zones.associateWith { QuotaAmount(partition(maxCores), partition(maxCards)) })
        }

        const val UNLIMITED = 1e12
    }
}

/** Who owns which tasks of a job, as spans in the order of the tasks. */
object TaskSpans {
    /** The spans once [tasks] belong to [zone]. */
    fun move(spans: List<TaskSpan>, tasks: BitSet, zone: String): List<TaskSpan> {
        val moved = ArrayList<TaskSpan>()
        fun add(owner: String, from: Int, until: Int) {
            val last = moved.lastOrNull()
            if (last != null && last.zone == owner && last.until == from) {
                moved[moved.size - 1] = last.copy(until = until)
            } else {
                moved.add(TaskSpan(owner, from, until))
            }
        }
        for (span in spans.sortedBy { it.from }) {
            var at = span.from
            while (at < span.until) {
                val moving = tasks.get(at)
                val next = if (moving) {
                    tasks.nextClearBit(at)
                } else {
                    tasks.nextSetBit(at).let {
                        if (it <
                            0
                        ) {
                            span.until
                        } else {
                            it
                        }
                    }
                }
                val until = minOf(next, span.until)
                add(if (moving) zone else span.zone, at, until)
                at = until
            }
        }
        return moved
    }
}

/** Machines that may hold tasks of a zone, with their types; one key holds many, since changes are rationed. */
@Serializable
data class MachineSegmentRecord(@SerialName("m") val types: Map<String, String> = emptyMap())

/**
 * Some of the jobs that a job awaits, by what follows "j-", with spaces between: a long list needs more than one key.
 */
@Serializable
data class DependencySegmentRecord(@SerialName("i") val ids: String) {
    val jobs: List<String> get() = ids.split(' ').map { "j-$it" }

    companion object {
        fun of(jobs: List<String>) = DependencySegmentRecord(jobs.joinToString(" ") { it.removePrefix("j-") })
    }
}

/** Completed tasks of many jobs, as [TaskBitmaps]; the names are those of [TaskBitmaps.name]. */
@Serializable
data class CompletionSegmentRecord(
    @SerialName("d") val bits: Map<String, String> = emptyMap(),
    /** The same in smaller chunks, for jobs of so many tasks that a chunk of the usual size would not fit a value. */
    @SerialName("f") val fine: Map<String, String>? = null,
)

fun <T> encodeRecord(serializer: kotlinx.serialization.KSerializer<T>, value: T): JsonElement =
    WireJson.encodeToJsonElement(serializer, value)

fun <T> decodeRecord(serializer: kotlinx.serialization.KSerializer<T>, value: JsonElement): T =
    WireJson.decodeFromJsonElement(serializer, value)

/** Sets of tasks are kept as base64 of their bits, [CHUNK] tasks under one name, or [FINE_CHUNK] in large jobs. */
object TaskBitmaps {
    const val CHUNK = 16_384

    /** A chunk of a job with more tasks than this takes 700 bytes. */
    const val FINE_CHUNK = 4_096

    fun chunkOf(tasks: Int): Int = if (tasks > FINE_CHUNK) FINE_CHUNK else CHUNK

    fun name(job: String, chunk: Int): String = if (chunk == 0) job else "$job.$chunk"

    fun job(name: String): String = name.substringBefore('.')

    fun chunk(name: String): Int = name.substringAfter('.', "0").toInt()

    fun encode(bits: BitSet, chunk: Int, size: Int = CHUNK): String =
        Base64.getEncoder().withoutPadding().encodeToString(bits.get(chunk * size, (chunk + 1) * size).toByteArray())

    fun decodeInto(text: String, chunk: Int, into: BitSet, size: Int = CHUNK) {
        val bits = BitSet.valueOf(Base64.getDecoder().decode(text))
        var next = bits.nextSetBit(0)
        while (next >= 0) {
            into.set(chunk * size + next)
            next = bits.nextSetBit(next + 1)
        }
    }
}
