package io.otterknot.placement

import io.otterknot.state.Amount
import io.otterknot.state.Job
import io.otterknot.wire.Command
import io.otterknot.wire.ExitCause
import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import io.otterknot.wire.Priority
import io.otterknot.wire.Report
import io.otterknot.wire.TaskName
import io.otterknot.wire.TaskReport
import io.otterknot.wire.TaskState
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap
import org.slf4j.LoggerFactory
import java.util.BitSet
import kotlin.random.Random

/** What to answer a worker's report with. */
sealed interface ReportDecision {
    data class Answer(val token: Long, val commands: List<Command>) : ReportDecision

    /** The worker has seen a higher token: this owner is no longer entitled to its part. */
    data object Superseded : ReportDecision

    /** An older report than one seen already. */
    data object Stale : ReportDecision
}

/** What a part needs to know of a team: what it may use here, and its share of a contended part. */
class TeamShare(val name: String, val weight: Double, var allotment: Amount)

class PartTimes(val leaseMs: Long, val marginMs: Long = 700) {
    /** A machine's lease, on any clock that keeps to the protocol's drift, has ended after this long. */
    val surelyOverMs: Long get() = leaseMs + leaseMs / 500 + marginMs
}

/**
 * The machines of one zone and the tasks that belong to them, as their one owner decides on them. It does no I/O and
 * reads no clock: reports and times come in, commands go out.
 *
 * Safety rests on three things here. A command goes out only in the answer to a report, a worker has one report in
 * flight and drops late answers, so its next report says what came of the commands. A machine counts as known only
 * once a report shows [token]. And a task that an earlier owner may have started is [PartJob.doubtful] until every
 * machine that could hold it is known, gone, or past its lease.
 */
class Part(
    val zone: String,
    val token: Long,
    private val claimedMs: Long,
    private val times: PartTimes,
    private val random: Random,
    private val aims: Aims,
    private val wallOf: (Long) -> Long,
    private val typeOf: (String) -> MachineType?,
    teams: List<TeamShare>,
    /** Machines that the part's owners have registered, with their types. */
    registeredMachines: Map<String, String>,
) {
    private val log = LoggerFactory.getLogger(Part::class.java)
    private val machineIndex = Object2IntOpenHashMap<String>().apply { defaultReturnValue(-1) }
    private val machineList = ArrayList<Machine?>()
    private val jobIndex = Object2IntOpenHashMap<String>().apply { defaultReturnValue(-1) }
    private val jobList = ArrayList<PartJob?>()
    private val teams: List<TeamShare> = teams
    private val teamIndex = Object2IntOpenHashMap<String>().apply {
        defaultReturnValue(-1)
        teams.forEachIndexed { index, team -> put(team.name, index) }
    }
    private val teamCores = DoubleArray(teams.size)
    private val teamCards = DoubleArray(teams.size)
    private var attempts = 0L
    private var ordinaryWork = false

    /** Machines that an earlier owner had registered and that have not shown [token] yet. */
    private val suspects = HashMap(registeredMachines)
    private val registered = HashSet(registeredMachines.keys)
    var settled = false
        private set

    val machines: List<Machine> get() = machineList.filterNotNull()
    val jobs: List<PartJob> get() = jobList.filterNotNull()

    fun machine(id: String): Machine? = machineIndex.getInt(id).let { if (it < 0) null else machineList[it] }

    fun job(id: String): PartJob? = jobIndex.getInt(id).let { if (it < 0) null else jobList[it] }

    // ---- jobs -------------------------------------------------------------------------------------------------

    /** Takes what the replica now says of [job]. [inherited]: this part was claimed after it was written. */
    fun updateJob(job: Job, inherited: Boolean) {
        val record = job.record ?: return
        val spec = record.spec
        if (spec == null || record.final != null) {
            job(job.id)?.let(::drop)
            return
        }
        val spans = record.spans.filter { it.zone == zone }
        var held = job(job.id)
        if (held == null) {
            if (spans.isEmpty()) return
            held = PartJob(jobList.size, job, spec, record.submittedMs)
            jobIndex.put(job.id, held.index)
            jobList.add(held)
        }
        val mine = BitSet()
        spans.forEach { mine.set(it.from, it.until) }
        val came = (mine.clone() as BitSet).apply { andNot(held.mine); andNot(job.done) }
        val left = (held.mine.clone() as BitSet).apply { andNot(mine) }
        held.mine.clear()
        held.mine.or(mine)
        if (inherited && !settled) held.doubtful.or(came) else held.pending.or(came)
        held.pending.andNot(left)
        held.doubtful.andNot(left)
        held.leaving.andNot(left)
    }

    /** Sets tasks of [held] that wait aside for another part, up to so many [cores]; the last ones first. */
    fun setAside(held: PartJob, cores: Double): BitSet {
        var left = if (held.spec.cores > 0) (cores / held.spec.cores).toInt() else held.waiting
        val chosen = BitSet()
        var task = held.pending.length() - 1
        while (task >= 0 && left > 0) {
            chosen.set(task)
            left--
            task = held.pending.previousSetBit(task - 1)
        }
        held.pending.andNot(chosen)
        held.leaving.or(chosen)
        return chosen
    }

    /** The handover of [tasks] is settled: what still belongs to this part waits here again. */
    fun settleHandover(held: PartJob, tasks: BitSet) {
        val kept = (tasks.clone() as BitSet).apply { and(held.mine); and(held.leaving) }
        held.leaving.andNot(tasks)
        if (!held.over) held.pending.or(kept)
    }

    /** Completions became durable. */
    fun updateDone(job: Job) {
        val held = job(job.id) ?: return
        held.fresh.andNot(job.done)
        held.pending.andNot(job.done)
        held.doubtful.andNot(job.done)
    }

    private fun drop(held: PartJob) {
        held.over = true
        held.pending.clear()
        held.doubtful.clear()
        jobIndex.removeInt(held.id)
        jobList[held.index] = null
        for (attempt in held.active.values.toList()) {
            // What was only booked has never been sent, so it is free at once; the rest is told to stop.
            if (attempt.phase == Phase.BOOKED) release(attempt) else attempt.halting = true
        }
    }

    // ---- machines ---------------------------------------------------------------------------------------------

    fun registeredNow(id: String, present: Boolean) {
        if (present) {
            registered.add(id)
        } else {
            registered.remove(id)
            retired.remove(id)
        }
        machine(id)?.registered = present
    }

    /** Machines that report here and must be registered before they may get a task. */
    fun unregistered(): List<Machine> = machines.filter { it.reconciled && !it.registered && !it.silent }

    /** The cloud says that the machine and everything on it is gone. */
    fun released(id: String) {
        if (id in registered) retired.add(id)
        dismiss(id)
    }

    /** Registered machines that are surely gone; their names never come back, so their keys may go too. */
    val retired = HashSet<String>()

    /** A machine that the cloud lists no more, long after its lease: should it come back after all, it starts anew. */
    fun dismiss(id: String) {
        suspects.remove(id)
        val machine = machine(id) ?: return
        forgetAll(machine)
        machineIndex.removeInt(id)
        machineList[machine.index] = null
    }

    /**
     * Machines that have stopped reporting while most others go on, and that hold tasks or doubts up: a hung machine
     * is given back, since the cloud's answer settles sooner than its lease what became of its tasks.
     */
    fun hung(now: Long, afterMs: Long): List<String> {
        val talking = machines.filter { !it.silent }
        val quiet = talking.filter { now - it.answeredMs > afterMs }
        if (talking.size < 3 || quiet.size * 3 > talking.size) return emptyList()
        val lively = talking.count { now - it.answeredMs < afterMs / 2 }
        if (lively * 2 < talking.size) return emptyList()
        val unheard = if (settled || now - claimedMs < afterMs || suspects.size * 3 > talking.size) emptyList() else suspects.keys.filter { machine(it) == null }
        return quiet.filter { it.attempts.isNotEmpty() || it.id in suspects }.map { it.id } + unheard
    }

    private fun forgetAll(machine: Machine) {
        for (attempt in machine.attempts.values.toList()) {
            release(attempt)
            requeue(attempt)
        }
    }

    /** Looks for machines whose lease is surely over, and for doubts that time has settled. */
    fun sweep(now: Long) {
        for (machine in machines) {
            if (!machine.silent && now - machine.answeredMs > times.surelyOverMs) {
                log.info("{}: no report from {} within its lease; {} attempts are over", zone, machine.id, machine.attempts.size)
                machine.silent = true
                machine.idle = false
                forgetAll(machine)
            }
        }
        settle(now)
    }

    private fun settle(now: Long) {
        if (settled) return
        // An answer with the new token renews the lease of a machine that still holds an earlier owner's tasks. If it
        // then falls silent, its lease ends that much later than those of machines never heard of.
        suspects.keys.removeIf { id -> now - maxOf(claimedMs, machine(id)?.answeredMs ?: claimedMs) > times.surelyOverMs }
        if (suspects.isNotEmpty()) return
        settled = true
        var count = 0
        for (job in jobs) {
            job.doubtful.andNot(job.job.done)
            count += job.doubtful.cardinality()
            job.pending.or(job.doubtful)
            job.doubtful.clear()
        }
        log.info("{}: no doubt is left {} ms after the claim; {} tasks may start", zone, now - claimedMs, count)
    }

    // ---- reports ----------------------------------------------------------------------------------------------

    fun report(report: Report, now: Long): ReportDecision {
        if (report.token > token) return ReportDecision.Superseded
        val type = typeOf(report.type) ?: return ReportDecision.Answer(token, emptyList())
        val machine = machine(report.machine) ?: Machine(machineList.size, report.machine, type, report.spot).also {
            machineIndex.put(it.id, it.index)
            machineList.add(it)
            it.registered = it.id in registered
            it.firstSeenMs = now
        }
        // Packets may be held back and delivered late: only a newer report says anything.
        if (report.session < machine.session || (report.session == machine.session && report.seq <= machine.seq)) {
            return ReportDecision.Stale
        }
        if (report.session > machine.session) {
            // The worker has killed and forgotten everything of its earlier sessions.
            forgetAll(machine)
            machine.session = report.session
        }
        machine.seq = report.seq
        machine.answeredMs = now
        machine.silent = false
        if (report.token < token) {
            // Until it has seen this token, an earlier owner's answer could still reach it.
            machine.reconciled = false
            return ReportDecision.Answer(token, emptyList())
        }
        machine.reconciled = true
        machine.noticed = report.noticeS != null
        if (machine.noticed) machine.draining = true
        val commands = ArrayList<Command>()
        val shown = HashSet<Long>()
        for (entry in report.tasks) {
            shown.add(entry.attempt)
            reconcile(machine, entry, now, commands)
        }
        for (attempt in machine.attempts.values.toList()) {
            if (attempt.id in shown || attempt.phase == Phase.BOOKED) continue
            // Sent in an answer to an earlier report and not here: the worker dropped that answer, and always will.
            release(attempt)
            requeue(attempt)
        }
        if (suspects.remove(machine.id) != null) settle(now)
        val free = machine.attempts.isEmpty()
        machine.reported(machine.bookedShare(), free && machine.usable)
        place(now)
        for (attempt in machine.attempts.values) {
            when {
                attempt.halting && attempt.holds && attempt.phase != Phase.BOOKED -> {
                    val saves = attempt.job.spec.checkpointS > 0 && !attempt.job.over && !attempt.haltSent
                    commands.add(Command.halt(attempt.name, attempt.id, if (saves) attempt.job.spec.saveS else 0.0))
                    attempt.haltSent = true
                }
                attempt.phase == Phase.BOOKED -> {
                    attempt.phase = Phase.SENT
                    attempt.since = now
                    commands.add(Command.start(attempt.name, attempt.id))
                }
            }
        }
        return ReportDecision.Answer(token, commands)
    }

    private fun reconcile(machine: Machine, entry: TaskReport, now: Long, commands: MutableList<Command>) {
        val name = TaskName.parse(entry.task)
        val exited = entry.state == TaskState.EXITED
        val known = machine.attempts.get(entry.attempt)
        val held = known?.job ?: job(name.job)
        if (held == null || (held.over && exited)) {
            // The job is over, or its task is none of ours.
            known?.let(::release)
            commands.add(
                if (exited) Command.forget(entry.task, entry.attempt) else Command.halt(entry.task, entry.attempt, 0.0),
            )
            return
        }
        if (exited) {
            known?.let(::release)
            exited(machine, held, name.number, entry, known, now, commands)
            return
        }
        val attempt = known ?: adopt(machine, held, name.number, entry, now)
        if (attempt == null) {
            commands.add(Command.halt(entry.task, entry.attempt, 0.0))
            return
        }
        val phase = when (entry.state) {
            TaskState.FETCHING -> Phase.FETCHING
            TaskState.SAVING -> Phase.SAVING
            else -> Phase.RUNNING
        }
        if (phase != attempt.phase) {
            if (phase == Phase.RUNNING) {
                attempt.since = now
                machine.images.remove(held.spec.image)
                machine.images.add(held.spec.image)
                if (machine.images.size > MAX_IMAGES) machine.images.remove(machine.images.first())
            }
            attempt.phase = phase
        }
    }

    private fun exited(
        machine: Machine, held: PartJob, task: Int, entry: TaskReport, known: Attempt?, now: Long, commands: MutableList<Command>,
    ) {
        if (entry.cause == ExitCause.DONE) {
            // `forget` only once the completion is durable: until then this report is the only trace of it.
            if (held.job.done.get(task)) {
                commands.add(Command.forget(entry.task, entry.attempt))
            } else if (held.mine.get(task)) {
                held.fresh.set(task)
                held.pending.clear(task)
                held.doubtful.clear(task)
            }
            machine.failedJobs.clear()
            machine.failures = 0
            return
        }
        commands.add(Command.forget(entry.task, entry.attempt))
        if (entry.cause == ExitCause.ERROR && known != null) {
            held.failures++
            // Not for ever: this may be the only machine that the job is allowed on, and sound after all.
            machine.failedJobs[held.id] = now + AVOID_MS
            machine.failures++
            // A machine is faulty if several jobs fail on it, or one that completes elsewhere does again and again; a job
            // that fails everywhere says nothing of machines, but must not keep them all busy.
            val others = machine.failedJobs.size >= 2
            if (machine.failures >= FAULTY && (others || !held.job.done.isEmpty)) machine.draining = true
            if (held.failures > 3) held.retryAtMs = now + minOf(30_000L, 500L shl minOf(held.failures, 10))
        }
        if (known != null) {
            if (entry.cause != ExitCause.ERROR && entry.cause != "stopped") log.warn("{}: {} on {} ended: {}", zone, entry.task, machine.id, entry.cause)
            requeue(known)
        } else if (held.unheld(task) && !held.doubtful.get(task)) {
            held.pending.set(task)
        }
    }

    /** A machine shows a task that an earlier owner started. */
    private fun adopt(machine: Machine, held: PartJob, task: Int, entry: TaskReport, now: Long): Attempt? {
        // A report that was held back may show a task that has long been given up here and is leaving for another part:
        // taken back, it would start in both.
        if (!held.unheld(task)) {
            log.warn("{}: {} shows {} (attempt {}), which it should not hold", zone, machine.id, entry.task, entry.attempt)
            return null
        }
        held.pending.clear(task)
        held.doubtful.clear(task)
        return book(machine, held, task, entry.attempt, Phase.SENT, now)
    }

    private fun book(machine: Machine, held: PartJob, task: Int, id: Long, phase: Phase, now: Long): Attempt {
        val attempt = Attempt(held, task, id, machine, phase, now)
        machine.attempts.put(id, attempt)
        machine.book(held.spec)
        held.active.put(task, attempt)
        val team = teamIndex.getInt(held.spec.team)
        if (team >= 0) {
            teamCores[team] += held.spec.cores
            teamCards[team] += held.spec.cards
        }
        return attempt
    }

    /** The attempt holds nothing any more; what becomes of the task is the caller's matter. */
    private fun release(attempt: Attempt) {
        if (attempt.phase == Phase.EXITED) return
        attempt.phase = Phase.EXITED
        val spec = attempt.job.spec
        attempt.machine.attempts.remove(attempt.id)
        attempt.machine.unbook(spec)
        if (attempt.job.active.get(attempt.task) === attempt) attempt.job.active.remove(attempt.task)
        val team = teamIndex.getInt(spec.team)
        if (team >= 0) {
            teamCores[team] -= spec.cores
            teamCards[team] -= spec.cards
        }
    }

    private fun requeue(attempt: Attempt) {
        val held = attempt.job
        if (!held.over && held.unheld(attempt.task)) held.pending.set(attempt.task)
    }

    // ---- placement --------------------------------------------------------------------------------------------

    /** Places what waits: the most urgent priority first, its teams in turn by shares, and a team's jobs in order. */
    fun place(now: Long) {
        val waiting = jobs.filter { !it.pending.isEmpty && it.retryAtMs <= now }
        if (waiting.isEmpty()) return
        val order = inOrder(now)
        val usable = machines.filter { it.usable }
        ordinaryWork = jobs.any { !it.spec.spot }
        for (machine in usable) {
            machine.held = Amounts()
            machine.freeing = Amounts().apply { machine.attempts.values.forEach { if (it.halting) add(it.job.spec) } }
        }
        for (priority in Priority.entries) {
            val queues = waiting.filter { it.spec.priority == priority }
                .sortedWith(order)
                .groupBy { teamIndex.getInt(it.spec.team) }
                .mapValues { ArrayDeque(it.value) }
                .toMutableMap()
            while (queues.isNotEmpty()) {
                val team = queues.keys.minBy { pressure(it) }
                val queue = queues.getValue(team)
                val job = queue.first()
                if (!placeOne(job, usable, now) || job.pending.isEmpty) {
                    queue.removeFirst()
                    if (queue.isEmpty()) queues.remove(team)
                }
            }
            if (priority < Priority.BEST_EFFORT) makeRoom(waiting.filter { it.spec.priority == priority && !it.pending.isEmpty }, usable, now)
        }
    }

    private fun inOrder(now: Long): Comparator<PartJob> {
        val wall = wallOf(now)
        return compareBy<PartJob> { aims.missed(it.spec, wall - it.submittedMs) }
            .thenBy { it.remainingWork }
            .thenBy { it.submittedMs }
            .thenBy { it.id }
    }

    /** Jobs of which tasks wait, the most urgent first. */
    fun waitingInOrder(now: Long): List<PartJob> = jobs.filter { !it.pending.isEmpty }
        .sortedWith(compareBy<PartJob> { it.spec.priority }.then(inOrder(now)))

    private fun pressure(team: Int): Double = if (team < 0) 0.0 else teamCores[team] / teams[team].weight

    private fun placeOne(job: PartJob, usable: List<Machine>, now: Long): Boolean {
        val spec = job.spec
        if (!withinLimits(job)) return false
        var fitting = usable.filter { it.allowed(spec) && it.spareFor(spec) && !it.avoids(job.id, now) }
        // Where some work may run on ordinary machines only, other work takes those last: it would be stopped there.
        if (spec.spot && ordinaryWork && fitting.any { it.spot }) fitting = fitting.filter { it.spot }
        val machine = Saqr.choose(fitting, random, { it.share(spec) }, { spec.image in it.images }) ?: return false
        val task = job.pending.nextSetBit(0)
        job.pending.clear(task)
        book(machine, job, task, nextAttempt(), Phase.BOOKED, now)
        return true
    }

    private fun withinLimits(job: PartJob): Boolean {
        val spec = job.spec
        // Active tasks of this part are all that can be in its zone, so half of the job's tasks may be active here.
        if (spec.spread && job.active.size + job.doubtful.cardinality() + 1 > spec.perZoneLimit) return false
        val team = teamIndex.getInt(spec.team)
        if (team < 0) return false
        val left = leftover(team)
        return left.covers(spec)
    }

    /**
     * What a team may still use here. A machine that is not known yet may be full of its tasks, also of jobs that are
     * over: until it is, all of that machine counts as used.
     */
    private fun leftover(team: Int): Amount {
        var cores = teams[team].allotment.cores - teamCores[team]
        var cards = teams[team].allotment.cards - teamCards[team]
        if (!settled) {
            for (type in suspects.values) {
                cores -= typeOf(type)?.cores ?: return Amount()
                cards -= typeOf(type)?.cards ?: 0.0
            }
        }
        return Amount(cores, cards)
    }

    private fun Amount.covers(spec: JobSpec) = spec.cores <= cores + Machine.EPS && spec.cards <= cards + Machine.EPS

    fun allot(name: String, allotment: Amount) {
        val team = teamIndex.getInt(name)
        if (team >= 0) teams[team].allotment = allotment
    }

    /** What the waiting tasks of a team need here beyond the allotment; nothing while it lets one of each start. */
    fun need(name: String): Amount {
        val team = teamIndex.getInt(name)
        if (team < 0) return Amount()
        val left = leftover(team)
        val waiting = jobs.filter { it.spec.team == name && !it.pending.isEmpty }
        if (waiting.all { left.covers(it.spec) }) return Amount()
        return Amount(
            maxOf(0.0, waiting.sumOf { it.waiting * it.spec.cores } - left.cores),
            maxOf(0.0, waiting.sumOf { it.waiting * it.spec.cards } - left.cards),
        )
    }

    /**
     * What this part can give of a team's allotment to the part of [to]: what nothing here waits for, or what is too
     * little for any task here, then only in one direction, or two parts would hold each half of what a task needs.
     */
    fun spare(name: String, to: String): Amount {
        val team = teamIndex.getInt(name)
        if (team < 0 || !settled) return Amount()
        val left = leftover(team)
        val waiting = jobs.filter { it.spec.team == name && !it.pending.isEmpty }
        val useless = to < zone && waiting.isNotEmpty() && waiting.none { left.covers(it.spec) }
        if (useless) return Amount(maxOf(0.0, left.cores), maxOf(0.0, left.cards))
        return Amount(
            maxOf(0.0, left.cores - waiting.sumOf { it.waiting * it.spec.cores }),
            maxOf(0.0, left.cards - waiting.sumOf { it.waiting * it.spec.cards }),
        )
    }

    /** Unlike any attempt of another owner or an earlier start: the token is in it. */
    private fun nextAttempt(): Long = (token shl ATTEMPT_BITS) or ++attempts

    /**
     * Stops tasks of lower priority where a waiting task would then fit, the least work lost first, and holds the room
     * for it. Without holding it, lower work that waits would take each freed core before the urgent task fits.
     */
    private fun makeRoom(waiting: List<PartJob>, usable: List<Machine>, now: Long) {
        for (job in waiting) {
            val spec = job.spec
            val team = teamIndex.getInt(spec.team)
            if (team < 0) continue
            val patient = wallOf(now) - job.submittedMs < aims.patienceMs(spec)
            val possible = usable.filter { it.allowed(spec) && !it.avoids(job.id, now) }
            // What the team's allotment does not let start needs no room.
            val left = leftover(team)
            val startable = if (spec.cores > 0) minOf(job.waiting.toDouble(), (left.cores + Machine.EPS) / spec.cores).toInt() else job.waiting
            repeat(startable) {
                val room = possible.firstOrNull { it.openRoom().covers(spec) }
                if (room != null) {
                    room.held.add(spec)
                    return@repeat
                }
                val (machine, victims) = possible.mapNotNull { machine -> victims(machine, spec, now)?.let { machine to it } }
                    .minByOrNull { (_, victims) -> victims.sumOf { lostWork(it, now) } } ?: return@repeat
                machine.held.add(spec)
                if (patient) return@repeat
                for (victim in victims) {
                    if (victim.phase == Phase.BOOKED) {
                        release(victim)
                        requeue(victim)
                    } else {
                        victim.halting = true
                        machine.freeing.add(victim.job.spec)
                    }
                }
            }
        }
    }

    /** The attempts to stop so that a task fits, those that lose least first; null: not even then would it. */
    private fun victims(machine: Machine, spec: JobSpec, now: Long): List<Attempt>? {
        val open = machine.openRoom()
        val victims = ArrayList<Attempt>()
        for (attempt in machine.attempts.values.filter { !it.halting && it.job.spec.priority > spec.priority }.sortedBy { lostWork(it, now) }) {
            open.add(attempt.job.spec)
            victims.add(attempt)
            if (open.covers(spec)) return victims
        }
        return null
    }

    /** Core-seconds that stopping an attempt throws away. */
    private fun lostWork(attempt: Attempt, now: Long): Double =
        if (attempt.phase == Phase.RUNNING) (now - attempt.since) / 1000.0 * attempt.job.spec.cores else 0.0

    // ---- what others are told ---------------------------------------------------------------------------------

    private fun waitingCores(): Double = jobs.sumOf { it.waitingCores }

    /** Cores that the tasks of some jobs take here or wait for. */
    fun demand(of: (JobSpec) -> Boolean): Double =
        jobs.filter { of(it.spec) }.sumOf { it.waitingCores + it.active.size * it.spec.cores }

    val totalCores: Double get() = machines.filter { it.serving }.sumOf { it.type.cores }

    val ordinaryCores: Double get() = machines.filter { !it.spot && it.serving }.sumOf { it.type.cores }

    fun ordinaryMean(): Double = demand { !it.spot } / maxOf(ordinaryCores, 1.0)

    /** The mean of the machines' loads; what waits counts too, as it does in the queues of Saqr's workers. */
    fun mean(): Double {
        val cores = totalCores
        val busy = machines.filter { !it.silent }.sumOf { it.usedCores }
        return (busy + waitingCores()) / maxOf(cores, 1.0)
    }

    fun runningTasks(jobId: String): Int = job(jobId)?.active?.values?.count { it.phase == Phase.RUNNING || it.phase == Phase.SAVING } ?: 0

    private companion object {
        const val ATTEMPT_BITS = 24
        const val MAX_IMAGES = 12
        const val FAULTY = 3
        const val AVOID_MS = 15_000L
    }
}
