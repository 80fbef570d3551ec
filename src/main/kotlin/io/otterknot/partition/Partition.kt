package io.otterknot.partition

import io.otterknot.jobs.Job
import io.otterknot.records.QuotaAmount
import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.ImageCounts
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.PlacementLedger
import io.otterknot.scheduling.Resources
import io.otterknot.scheduling.Scheduler
import io.otterknot.scheduling.ServiceLevelObjectives
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.MachineType
import io.otterknot.wire.TaskState
import org.slf4j.LoggerFactory
import java.util.BitSet
import kotlin.random.Random

/** What to answer a worker's report with. */
sealed interface HeartbeatDecision {
    data class Answer(val fencingToken: Long, val commands: List<HeartbeatCommand>) : HeartbeatDecision

    /** The worker has seen a higher token: this owner is no longer entitled to its partition. */
    data object Superseded : HeartbeatDecision

    /** An older report than one seen already. */
    data object Stale : HeartbeatDecision
}

/** What a partition needs to know of a team: what it may use here, and its share of a contended partition. */
class TeamQuota(val name: String, val weight: Double, var allotment: QuotaAmount)

class LeaseTimings(val leaseMs: Long, val marginMs: Long = 700, val answerMs: Long = 4_000) {
    /** A machine's lease, on any clock that keeps to the protocol's drift, has ended after this long. */
    val surelyOverMs: Long get() = leaseMs + leaseMs / 500 + marginMs

    /** An answer to a report that came in this long after a claim cannot prolong a lease from before the claim. */
    val tooLateMs: Long get() = surelyOverMs + answerMs
}

/**
 * The machines of one zone and the tasks that belong to them, as their one owner decides on them. It does no I/O and
 * reads no clock: reports and times come in, commands go out.
 *
 * Safety rests on three things here. A command goes out only in the answer to a report, a worker has one report in
 * flight and drops late answers, so its next report says what came of the commands. A machine counts as known only
 * once a report shows [token]. And a task that an earlier owner may have started is [PartitionJob.doubtful] until every
 * machine that could hold it is known, gone, or past its lease.
 *
 * Larger than other files: what takes a job or a machine in or lets go of it changes the same sets, and is read together.
 */
class Partition(
    val zone: String,
    val fencingToken: Long,
    private val claimedMs: Long,
    /** Until when an earlier owner may have given answers to the machines. */
    val priorLeaderUntilMs: Long,
    private val times: LeaseTimings,
    random: Random,
    aims: ServiceLevelObjectives,
    private val wallOf: (Long) -> Long,
    private val typeOf: (String) -> MachineType?,
    teamShares: List<TeamQuota>,
    /** Machines that the partition's owners have registered, with their types. */
    registeredMachines: Map<String, String>,
) {
    private val log = LoggerFactory.getLogger(Partition::class.java)
    private val machineByName = NameIndex<Machine> { it.id }
    private val machineList get() = machineByName.all
    private val jobByName = NameIndex<PartitionJob> { it.id }
    private val jobList get() = jobByName.all

    /** Machines that an earlier owner had registered and that have not shown [token] yet. */
    private val unreconciled = UnreconciledMachines(registeredMachines, typeOf)
    private val registered = HashSet(registeredMachines.keys)

    /**
     * Machines that show a task which is not booked here: of a job that is over, or one that is no longer ours. It is
     * told to stop, and until it is gone nobody knows what it takes, of the machine and of its team's limit.
     */
    private val withUnknownTasks = UnreconciledMachines(emptyMap(), typeOf)
    private val health = MachineHealth({ machineList }, { machine(it) != null }, unreconciled)
    private val teams = TeamQuotaLedger(teamShares, ::unknownAmount)

    /** What waits, by team; followed only where somebody asks for it. */
    val waitingWork = WaitingWork(teamShares.size)

    /** On how many machines each image is. */
    val imageCounts = ImageCounts()
    val fetchTimes = FetchTimes()

    private val attempts: AttemptLedger =
        AttemptLedger(fencingToken, teams, waitingWork) { scheduler.invalidate() }

    /** What the machines and jobs of this partition add up to. */
    val load = PartitionLoad({ machineList }, { jobList }, teams)

    /** How far machines that were let go had reported: a copy of an older report must not bring one back. */
    private val lastSeen = HeartbeatHistory { machineList.size }
    var reconciled = false
        private set

    private val ledger: PlacementLedger = object : PlacementLedger {
        override val machines get() = machineList
        override val jobs get() = jobList
        override fun startableTasks(job: PartitionJob) = this@Partition.startableTasks(job)
        override fun pressure(team: Int) = teams.pressure(team)
        override fun book(job: PartitionJob, machine: Machine, now: Long): Attempt {
            val task = job.pending.nextSetBit(0)
            job.pending.clear(task)
            return attempts.book(machine, job, task, attempts.nextId(), AttemptPhase.BOOKED, now)
        }

        override fun stop(attempt: Attempt) = attempts.stop(attempt)
    }
    private val scheduler: Scheduler = Scheduler(ledger, aims, wallOf, random)
    private val slowTasks = StragglerDetector(zone)
    private val reconciler = HeartbeatReconciler(zone, attempts, ::job, slowTasks, fetchTimes)

    /** The names of the teams; their places are the indices that [PartitionJob.team] gives. */
    val teamNames: List<String> get() = teams.names

    /** How long tasks that completed here ran, the recent ones counting most; null: none has yet. */
    val meanRunMs: Double? get() = slowTasks.meanRunMs

    val machines: List<Machine> get() = machineList
    val jobs: List<PartitionJob> get() = jobList

    fun machine(id: String): Machine? = machineByName[id]

    fun job(id: String): PartitionJob? = jobByName[id]

    // ---- jobs -------------------------------------------------------------------------------------------------

    /** Takes what the replica now says of [job]. [inherited]: this partition was claimed after it was written. */
    fun updateJob(job: Job, inherited: Boolean) {
        val record = job.record ?: return
        val spec = record.spec
        if (spec == null || job.outcome != null) {
            job(job.id)?.let(::drop)
            return
        }
        // Until all that it awaits is done, it is in no queue here and holds nothing.
        if (!job.ready) return
        var held = job(job.id)
        if (held == null) {
            if (record.spans.none { it.zone == zone }) return
            held = PartitionJob(job, spec, teams.index(spec.team))
            jobByName.add(held)
        }
        if (held.applyInheritedPriority()) scheduler.invalidate()
        val owned = BitSet()
        record.spans.forEach { if (it.zone == zone) owned.set(it.from, it.until) }
        val came = (owned.clone() as BitSet).apply {
            andNot(held.owned)
            andNot(job.done)
        }
        val left = (held.owned.clone() as BitSet).apply { andNot(owned) }
        held.owned.clear()
        held.owned.or(owned)
        if (inherited && !reconciled) held.inDoubt.or(came) else held.pending.or(came)
        held.pending.andNot(left)
        held.inDoubt.andNot(left)
        held.beingReassigned.andNot(left)
        waitingWork.touch(held)
        if (!came.isEmpty) scheduler.invalidate()
    }

    /** Sets tasks of [held] that wait aside for another partition, up to so many [cores]; the last ones first. */
    fun reserveForReassignment(held: PartitionJob, cores: Double): BitSet {
        var left = if (held.spec.cores >
            0
        ) {
            minOf(cores / held.spec.cores, held.pendingCount.toDouble()).toInt()
        } else {
            held.pendingCount
        }
        val chosen = BitSet()
        var task = held.pending.length() - 1
        while (task >= 0 && left > 0) {
            chosen.set(task)
            left--
            task = held.pending.previousSetBit(task - 1)
        }
        held.pending.andNot(chosen)
        held.beingReassigned.or(chosen)
        waitingWork.touch(held)
        return chosen
    }

    /** The handover of [tasks] is settled: what still belongs to this partition waits here again. */
    fun completeReassignment(held: PartitionJob, tasks: BitSet) {
        val kept = (tasks.clone() as BitSet).apply {
            and(held.owned)
            and(held.beingReassigned)
        }
        held.beingReassigned.andNot(tasks)
        if (held.finished || kept.isEmpty) return
        held.pending.or(kept)
        waitingWork.touch(held)
        scheduler.invalidate()
    }

    /** Completions became durable. */
    fun applyCompletions(job: Job) {
        val held = job(job.id) ?: return
        held.unrecordedCompletions.andNot(job.done)
        held.pending.andNot(job.done)
        held.inDoubt.andNot(job.done)
        waitingWork.touch(held)
    }

    private fun drop(held: PartitionJob) {
        held.finished = true
        held.pending.clear()
        held.inDoubt.clear()
        waitingWork.touch(held)
        jobByName.remove(held.id)
        scheduler.order.invalidate()
        for (attempt in held.active.values.toList()) {
            // What was only booked has never been sent, so it is free at once; the rest is told to stop.
            if (attempt.phase == AttemptPhase.BOOKED) attempts.release(attempt) else attempt.requestStop()
        }
    }

    // ---- machines ---------------------------------------------------------------------------------------------

    /**
     * Whether another owner would soon be sure of what it gets. While an earlier one may still act, it would have to
     * wait for that one's end before time settles what a single dead machine leaves in doubt.
     */
    fun mayTransferLeadership(now: Long): Boolean = reconciled && now > priorLeaderUntilMs

    /** The machines that are registered now. */
    fun updateRegisteredMachines(ids: Set<String>) {
        registered.clear()
        registered.addAll(ids)
        releasedMachines.retainAll(ids)
        for (machine in machineList) {
            val present = machine.id in ids
            if (present && !machine.registered) scheduler.invalidate()
            machine.registered = present
        }
    }

    /** Machines that report here and must be registered before they may get a task. */
    fun unregisteredMachines(): List<Machine> = machineList.filter {
        it.reconciled && !it.registered && !it.leaseExpired
    }

    /** The types of machines that an earlier owner had registered and that have not been heard of yet. */
    fun unreportedMachineTypes(): List<String> = if (reconciled) {
        emptyList()
    } else {
        unreconciled.filter {
            machine(it) == null
        }.values.toList()
    }

    /** The cloud says that the machine and everything on it is gone. */
    fun machineReleased(id: String) {
        if (id in registered) releasedMachines.add(id)
        forgetMachine(id)
        // Its name never comes back: whatever report still shows it is a late one.
        lastSeen.gone(id)
    }

    /** Registered machines that are surely gone; their names never come back, so their keys may go too. */
    val releasedMachines = HashSet<String>()

    /** A machine that the cloud lists no more, long after its lease: should it come back after all, it starts anew. */
    fun forgetMachine(id: String) {
        unreconciled.remove(id)
        withUnknownTasks.remove(id)
        health.forget(id)
        val machine = machine(id) ?: return
        attempts.releaseAll(machine)
        lastSeen.note(id, machine.epoch, machine.lastSequence)
        machine.images.keys.forEach(imageCounts::removed)
        machineByName.remove(id)
    }

    /** Machines that are to be given back since they hang and hold tasks or doubts up; see [MachineHealth]. */
    fun unresponsiveMachines(now: Long, afterMs: Long): List<String> =
        health.hung(now, afterMs, if (reconciled) null else claimedMs)

    /**
     * Machines whose reports arrive while answers to them are lost again and again: they do nothing and hold others up.
     */
    fun machinesLosingResponses(): List<String> = health.unreachable()

    /**
     * Looks for machines whose lease is surely over, and for doubts that time has settled; places what waits. Where
     * this node itself has been [slow], its answers come too late for the workers, and no machine is to blame.
     */
    fun sweep(now: Long, slow: Boolean = false) {
        for (machine in machineList) {
            if (!machine.leaseExpired && isLeaseOver(machine, now)) {
                val count = machine.attempts.size
                log.info("{}: no report from {} within its lease; {} attempts are over", zone, machine.id, count)
                machine.leaseExpired = true
                machine.idle = false
                val holdsEndedJobs = machine.attempts.values.any { it.job.finished } || machine.id in withUnknownTasks
                if (holdsEndedJobs) health.hangsWithEndedJobs(machine.id)
                withUnknownTasks.remove(machine.id)
                attempts.releaseAll(machine)
            }
            if (slow) machine.lostResponses = 0
            if (!machine.leaseExpired) slowTasks.stopStragglers(machine, now)
        }
        settle(now)
        scheduler.placeAll(now)
    }

    private fun isLeaseOver(machine: Machine, now: Long): Boolean =
        now - machine.leaseStartMs > times.surelyOverMs && now - machine.lastHeartbeatMs > times.surelyOverMs

    private fun settle(now: Long) {
        if (reconciled) return
        // An answer with the new token renews the lease of a machine that still holds an earlier owner's tasks. If it
        // then falls silent, its lease ends that much later than those of machines never heard of.
        unreconciled.removeIf { id ->
            now - maxOf(priorLeaderUntilMs, machine(id)?.leaseStartMs ?: priorLeaderUntilMs) >
                times.surelyOverMs
        }
        if (!unreconciled.empty) return
        reconciled = true
        var count = 0
        for (job in jobList) {
            job.inDoubt.andNot(job.job.done)
            count += job.inDoubt.cardinality()
            job.pending.or(job.inDoubt)
            job.inDoubt.clear()
            waitingWork.touch(job)
        }
        scheduler.invalidate()
        log.info("{}: no doubt is left {} ms after the claim; {} tasks may start", zone, now - claimedMs, count)
    }

    // ---- reports ----------------------------------------------------------------------------------------------

    fun handleHeartbeat(report: Heartbeat, now: Long): HeartbeatDecision {
        if (report.fencingToken > fencingToken) return HeartbeatDecision.Superseded
        val type = typeOf(report.type) ?: return HeartbeatDecision.Answer(fencingToken, emptyList())
        val known = machine(report.machine)
        // Packets may be held back and delivered late, and copies of them: only a newer report says anything, also of a
        // machine that has been let go.
        val news = if (known != null) report.isNewerThan(known.epoch, known.lastSequence) else lastSeen.isNews(report)
        if (!news) return HeartbeatDecision.Stale
        val machine = known ?: Machine(report.machine, type, report.spot, imageCounts).also {
            machineByName.add(it)
            it.registered = it.id in registered
            it.firstSeenMs = now
            it.leaseStartMs = now
        }
        if (report.epoch > machine.epoch) {
            // The worker has killed and forgotten everything of its earlier sessions. If its reports came all the
            // while, it was the answers that did not.
            if (known != null && now - machine.lastHeartbeatMs < times.leaseMs / 2) machine.lostResponses += 2
            attempts.releaseAll(machine)
            machine.epoch = report.epoch
        }
        machine.lastSequence = report.sequence
        machine.lastHeartbeatMs = now
        machine.leaseExpired = false
        health.forget(machine.id)
        if (report.fencingToken < fencingToken) {
            unknowing(machine, known != null, now)
            return HeartbeatDecision.Answer(fencingToken, emptyList())
        }
        machine.leaseStartMs = now
        if (!machine.reconciled) {
            machine.reconciled = true
            machine.lostResponses = 0
        }
        machine.hasSpotNotice = report.spotNoticeS != null
        if (machine.hasSpotNotice) machine.draining = true
        val commands = ArrayList<HeartbeatCommand>()
        for (entry in report.tasks) reconciler.reconcile(machine, entry, report.sequence, now, commands)
        reconciler.compareSent(machine)
        val strange = report.tasks.any { it.state != TaskState.EXITED && !machine.attempts.containsKey(it.attempt) }
        if (strange) withUnknownTasks.add(machine.id, machine.type.name) else withUnknownTasks.remove(machine.id)
        machine.hasUnknownTasks = strange
        report.spotNoticeS?.let { reconciler.leave(machine, it, now) }
        if (unreconciled.remove(machine.id)) settle(now)
        machine.reported(machine.bookedShare(), machine.attempts.isEmpty() && machine.acceptsTasks)
        if (machine.losesResponses) probe(machine, now) else scheduler.placeOn(machine, now)
        reconciler.addCommands(machine, now, commands)
        return HeartbeatDecision.Answer(fencingToken, commands)
    }

    /**
     * A report that does not show this token yet: an earlier owner's answer could still reach the machine. An answer
     * of ours may prolong the lease of what it holds from that owner, so the doubt is counted from this report; but no
     * answer to a report that came long after the claim can, since that lease has ended and a worker drops late
     * answers. Without this end, a machine that no answer reaches would keep a partition in doubt for ever.
     */
    private fun unknowing(machine: Machine, again: Boolean, now: Long) {
        machine.reconciled = false
        if (again) machine.lostResponses++
        if (now - priorLeaderUntilMs <=
            times.tooLateMs
        ) {
            machine.leaseStartMs = now
        } else if (unreconciled.remove(machine.id)) {
            settle(now)
        }
    }

    private fun probe(machine: Machine, now: Long) {
        val idle = machine.attempts.isEmpty() && machine.reconciled && machine.registered && machine.inService
        if (!idle || now - machine.lastProbeMs < PROBE_MS) return
        machine.lastProbeMs = now
        scheduler.probe(machine, now)
    }

    // ---- placement --------------------------------------------------------------------------------------------

    /** Jobs of which tasks wait, the most urgent first. */
    fun pendingJobsInOrder(now: Long): List<PartitionJob> = scheduler.order.sorted(jobList, now)

    /** What the tasks of a team that are booked here take. */
    fun usage(team: Int): Resources = teams.usage(team)

    /** How many more tasks of the job its team's limit and its own spread allow here now. */
    fun startableTasks(job: PartitionJob): Int {
        if (job.team < 0) return 0
        val spec = job.spec
        var count = job.pendingCount
        // Active tasks of this partition are all that can be in its zone, so half of the job's tasks may be active
        // here.
        if (spec.spreadAcrossZones) {
            count =
                minOf(count, spec.maxTasksPerZone - job.active.size - job.inDoubt.cardinality())
        }
        return teams.startable(job.team, spec, count)
    }

    /** Stops [attempt] so that its task is placed anew: what was only booked at once, the rest with the next answer. */
    fun stopForMove(attempt: Attempt) = attempts.stop(attempt)

    /**
     * Says which jobs are within their team's guarantee: they are placed before others, whatever their priority if
     * [beforeAll], and are not stopped for work that is not.
     */
    fun markCovered(now: Long, beforeAll: Boolean, isCovered: (PartitionJob) -> Boolean) {
        var changed = scheduler.order.coveredBeforeAll != beforeAll
        scheduler.order.coveredBeforeAll = beforeAll
        for (job in jobList) {
            if (job.markCovered(isCovered(job), now)) changed = true
        }
        if (changed) scheduler.invalidate()
    }

    fun setQuotaShare(name: String, allotment: QuotaAmount) {
        if (teams.allot(name, allotment)) scheduler.invalidate()
    }

    /** What the waiting tasks of a team need here beyond the allotment; nothing while it lets one of each start. */
    fun quotaNeed(name: String): QuotaAmount = teams.need(name, jobList)

    /** What this partition can give of a team's allotment to the partition of [to]. */
    fun spareQuota(name: String, to: String): QuotaAmount =
        if (reconciled) teams.spare(name, jobList, toEarlierZone = to < zone) else QuotaAmount()

    private fun unknownAmount(): QuotaAmount? {
        val inherited = unreconciled.amount() ?: return null
        return inherited + (withUnknownTasks.amount() ?: return null)
    }

    fun runningTasks(jobId: String): Int =
        job(jobId)?.active?.values?.count { it.phase == AttemptPhase.RUNNING || it.phase == AttemptPhase.SAVING } ?: 0

    private companion object {
        const val PROBE_MS = 3_000L
    }
}
