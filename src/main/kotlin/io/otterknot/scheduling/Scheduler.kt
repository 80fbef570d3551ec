package io.otterknot.scheduling

import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority
import kotlin.random.Random

/**
 * Where the tasks of one job may go now, in groups of which the first that has room is taken: machines that have its
 * image before others, since a fetch holds the task's cores for as long as it takes; and where some work may run on
 * ordinary machines only, spot machines before those.
 */
class JobCandidates(machines: List<Machine>, spec: JobSpec, spotFirst: Boolean, fits: (Machine) -> Boolean) {
    private val groups = ArrayList<PlacementCandidates<Machine>>()

    init {
        val kinds = if (spec.spot && spotFirst) machines.partition { it.spot }.toList() else listOf(machines)
        for (kind in kinds) {
            groups.add(PlacementCandidates(kind.filter { spec.image in it.images }, fits))
            groups.add(PlacementCandidates(kind, fits))
        }
    }

    fun choose(random: Random, spec: JobSpec): Machine? =
        groups.firstNotNullOfOrNull { group -> group.choose(random) { it.share(spec) } }
}

/** What the scheduler asks of the ledger and tells it. */
interface PlacementLedger {
    val machines: List<Machine>
    val jobs: List<PartitionJob>

    /** How many more tasks of the job its team's limit and its own spread allow here now. */
    fun startableTasks(job: PartitionJob): Int

    /** What the team uses, by its share. */
    fun pressure(team: Int): Double

    /** Books the job's next waiting task on [machine]. */
    fun book(job: PartitionJob, machine: Machine, now: Long): Attempt

    /** Stops the attempt so that something more urgent gets its room. */
    fun stop(attempt: Attempt)
}

/**
 * Places what waits in a partition. A task that waits fits nowhere, or it would have been placed: so when a report
 * frees room, only that machine is looked at, and all machines only once something has come to wait or the time is up.
 */
class Scheduler(
    private val ledger: PlacementLedger,
    private val aims: ServiceLevelObjectives,
    private val wallOf: (Long) -> Long,
    private val random: Random,
) {
    val order = SchedulingQueue(aims, wallOf)
    private val roomMaker = Preemptor(
        startable = { minOf(it.pendingCount, ledger.startableTasks(it)) },
        patient = { wallOf(passMs) - it.readyMs < aims.patienceMs(it.spec) },
        stop = ledger::stop,
    )
    private var dirty = true
    private var passMs = Long.MIN_VALUE / 2
    private var roomMs = Long.MIN_VALUE / 2

    /** Some work here may run on ordinary machines only. */
    private var ordinaryWork = false

    /** Something has come to wait, or fits where it did not. */
    fun invalidate() {
        dirty = true
        order.invalidate()
    }

    /** After a report of [machine]. */
    fun placeOn(machine: Machine, now: Long) {
        if (dirty || now - passMs >= PASS_MS) return placeAll(now)
        order.refresh(ledger.jobs, now)
        if (!machine.acceptsTasks || order.empty || !open(machine)) return
        place(now, machine)
    }

    /** One task to a machine of which answers seemed lost: whether it starts tells. */
    fun probe(machine: Machine, now: Long) {
        order.refresh(ledger.jobs, now)
        for (priority in Priority.entries) {
            for (queue in order.queues(priority)) {
                for (job in queue.jobs) {
                    if (mayStart(job, now) && fits(job, machine, now)) {
                        ledger.book(job, machine, now)
                        return
                    }
                }
            }
        }
    }

    /** All that waits, on all machines. */
    fun placeAll(now: Long) {
        dirty = false
        passMs = now
        order.refresh(ledger.jobs, now)
        if (order.empty) return
        ordinaryWork = ledger.jobs.any { !it.spec.spot }
        place(now, null)
    }

    /** It has room for the least that waits. */
    private fun open(machine: Machine) = machine.usedCores + order.leastCores <= machine.type.cores + Machine.EPSILON

    private fun place(now: Long, only: Machine?) {
        val usable = if (only != null) listOf(only) else ledger.machines.filter { it.acceptsTasks }
        // When more is asked than can be done most machines are full, and each waiting job would look at all of them.
        val open = usable.filter(::open)
        // Without this, the work of one pass would decide on the candidates of another.
        if (only == null) ledger.jobs.forEach { it.candidates = null }
        for (job in order.overdue) {
            if (!job.neverStarted || !mayStart(job, now)) continue
            // Room that is held for more urgent work does not count here, or the job would wait behind it for ever.
            val fitting = open.filter {
                it.isAllowedFor(job.spec) && it.hasRoomFor(job.spec) && !it.avoids(job.id, now)
            }
            val machine = JobCandidates(fitting, job.spec, ordinaryWork) { true }.choose(random, job.spec) ?: continue
            ledger.book(job, machine, now).protectFromPreemption()
        }
        // Work within a team's guarantee need not wait for other teams.
        if (order.coveredBeforeAll) {
            for (priority in Priority.entries) serve(order.coveredQueues(priority), open, only, now)
        }
        val makingRoom = only == null && now - roomMs >= ROOM_MS
        if (makingRoom) roomMs = now
        for (priority in Priority.entries) {
            val queues = order.queues(priority)
            serve(order.coveredQueues(priority), open, only, now)
            serve(queues, open, only, now)
            if (makingRoom && priority < Priority.BEST_EFFORT) {
                val waiting = queues.flatMap { queue ->
                    queue.jobs.filter { !it.pending.isEmpty && it.retryAtMs <= now }
                }
                roomMaker.make(priority, waiting, usable, now)
            }
        }
    }

    /**
     * Serves [queues] in turn by the teams' shares. After a report of one machine alone, [only], a job whose image that
     * machine has may come before others that are as urgent.
     */
    private fun serve(queues: List<SchedulingQueue.Queue>, open: List<Machine>, only: Machine?, now: Long) {
        for (queue in queues) queue.next = 0
        while (true) {
            val queue = nextInTurn(queues) ?: return
            val job = if (only == null) {
                queue.jobs[queue.next]
            } else {
                queue.pick { it.spec.image in only.images && mayStart(it, now) && fits(it, only, now) }
            }
            if (!mayStart(job, now) || placeOne(job, open, only, now) == null) queue.next++
        }
    }

    private fun nextInTurn(queues: List<SchedulingQueue.Queue>): SchedulingQueue.Queue? {
        var chosen: SchedulingQueue.Queue? = null
        var least = Double.MAX_VALUE
        for (queue in queues) {
            if (queue.head == null) continue
            val pressure = ledger.pressure(queue.team)
            if (chosen == null || pressure < least) {
                chosen = queue
                least = pressure
            }
        }
        return chosen
    }

    private fun mayStart(job: PartitionJob, now: Long) =
        !job.pending.isEmpty && job.retryAtMs <= now && ledger.startableTasks(job) > 0

    private fun fits(job: PartitionJob, machine: Machine, now: Long) =
        machine.isAllowedFor(job.spec) && hasRoom(job, machine) && !machine.avoids(job.id, now)

    private fun hasRoom(job: PartitionJob, machine: Machine): Boolean =
        if (order.ignoresHeldRoom(job)) machine.hasRoomFor(job.spec) else machine.hasUnreservedRoomFor(job.spec)

    private fun placeOne(job: PartitionJob, open: List<Machine>, only: Machine?, now: Long): Attempt? {
        val machine = if (only != null) {
            only.takeIf { fits(job, it, now) }?.also { it.addLoad(it.share(job.spec)) }
        } else {
            val candidates =
                job.candidates
                    ?: JobCandidates(open, job.spec, ordinaryWork) { fits(job, it, now) }.also { job.candidates = it }
            candidates.choose(random, job.spec)
        } ?: return null
        machine.reserved(job.spec.priority).subtractDownToZero(job.spec)
        return ledger.book(job, machine, now)
    }

    private companion object {
        const val PASS_MS = 1_000L
        const val ROOM_MS = 250L
    }
}
