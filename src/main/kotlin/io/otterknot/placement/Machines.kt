package io.otterknot.placement

import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap

enum class Phase { BOOKED, SENT, FETCHING, RUNNING, SAVING, EXITED }

/** One try at a task on one machine. */
class Attempt(val job: PartJob, val task: Int, val id: Long, val machine: Machine, var phase: Phase, var since: Long) {
    var halting = false
    var haltSent = false
    val name: String get() = "${job.id}/$task"
    val holds: Boolean get() = phase != Phase.EXITED
}

class Amounts(var cores: Double = 0.0, var memoryGb: Double = 0.0, var cards: Double = 0.0) {
    fun covers(spec: JobSpec) =
        spec.cores <= cores + Machine.EPS && spec.memoryGb <= memoryGb + Machine.EPS && spec.cards <= cards + Machine.EPS

    fun add(spec: JobSpec) {
        cores += spec.cores
        memoryGb += spec.memoryGb
        cards += spec.cards
    }
}

/** A machine in this part and the ledger of what is booked on it: reported, or sent and not yet reported. */
class Machine(val index: Int, val id: String, val type: MachineType, val spot: Boolean) : Place() {
    var session = 0L
    var seq = -1L

    /** Its last report showed this part's token, so no older owner's command can reach it any more. */
    var reconciled = false
    var registered = false
    var draining = false
    var noticed = false

    /** When the last report that got an answer came in: the machine's lease is counted from no later than this. */
    var answeredMs = 0L
    var firstSeenMs = 0L
    var silent = false
    val attempts = Long2ObjectLinkedOpenHashMap<Attempt>()
    val images = LinkedHashSet<String>()

    /** Jobs whose tasks failed here and are not tried here again before the time given. */
    val failedJobs = HashMap<String, Long>()
    var failures = 0

    fun avoids(jobId: String, now: Long): Boolean = (failedJobs[jobId] ?: Long.MIN_VALUE) > now

    var usedCores = 0.0
    var usedCards = 0.0
    var usedMemory = 0.0

    /** Not needed any more: takes no new task and goes back once it is empty, unless it is needed again before. */
    var retiring = false

    /** What is being freed here by stopping tasks, and what of this machine waiting tasks of a higher priority are to get. */
    var freeing = Amounts()
    var held = Amounts()

    /** Part of what this part has to work with, whether or not it may get a task already. */
    val serving: Boolean get() = !draining && !silent && !retiring
    val usable: Boolean get() = reconciled && registered && serving

    fun roomFor(spec: JobSpec): Boolean =
        usedCores + spec.cores <= type.cores + EPS &&
            usedMemory + spec.memoryGb <= type.memoryGb + EPS &&
            usedCards + spec.cards <= type.cards + EPS

    /** Room that is not meant for a task of a higher priority. */
    fun spareFor(spec: JobSpec): Boolean =
        roomFor(spec) &&
            usedCores - freeing.cores + held.cores + spec.cores <= type.cores + EPS &&
            usedMemory - freeing.memoryGb + held.memoryGb + spec.memoryGb <= type.memoryGb + EPS &&
            usedCards - freeing.cards + held.cards + spec.cards <= type.cards + EPS

    /** What is free or being freed and not held for anybody. */
    fun openRoom() = Amounts(
        type.cores - usedCores + freeing.cores - held.cores,
        type.memoryGb - usedMemory + freeing.memoryGb - held.memoryGb,
        type.cards - usedCards + freeing.cards - held.cards,
    )

    fun allowed(spec: JobSpec): Boolean = (spec.spot || !spot) && (spec.types == null || type.name in spec.types)

    fun book(spec: JobSpec) {
        usedCores += spec.cores
        usedCards += spec.cards
        usedMemory += spec.memoryGb
    }

    fun unbook(spec: JobSpec) {
        usedCores -= spec.cores
        usedCards -= spec.cards
        usedMemory -= spec.memoryGb
    }

    /** The booked share of the scarcest resource. */
    fun bookedShare(): Double = maxOf(ratio(usedCores, type.cores), ratio(usedMemory, type.memoryGb), ratio(usedCards, type.cards))

    fun share(spec: JobSpec): Double =
        maxOf(ratio(spec.cores, type.cores), ratio(spec.memoryGb, type.memoryGb), ratio(spec.cards, type.cards))

    private fun ratio(part: Double, whole: Double) = if (whole > 0) part / whole else 0.0

    companion object {
        const val EPS = 1e-6
    }
}
