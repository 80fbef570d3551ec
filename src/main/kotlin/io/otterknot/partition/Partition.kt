package io.otterknot.partition

import io.otterknot.jobs.Job
import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.ImageCounts
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.Scheduler
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.MachineType
import java.util.BitSet

/**
 * The machines of one zone and the tasks that belong to them, as their leader decides on them. It does no I/O and reads
 * no clock: heartbeats and times come in, commands go out. All times are of the leader's steady clock, in milliseconds,
 * and all calls come from the controller's one thread.
 *
 * This is a facade; the state is in the books that it opens: [JobBook] (which tasks may start), [MachineBook] (which
 * machines report), [AttemptLedger] (what is booked where) and [TeamQuotaLedger] (what teams use). Safety rests on
 * [HeartbeatProcessor] (commands go out only in responses) and [FailoverReconciliation] (tasks in doubt do not start).
 *
 * @param machineTypes finds a machine type by its name; null: not known.
 * @param registeredMachines machines that the partition's leaders have registered, by id with their types' names.
 */
class Partition(
    private val term: LeadershipTerm,
    leases: LeaseTimings,
    scheduling: SchedulingInputs,
    machineTypes: (name: String) -> MachineType?,
    teamQuotas: List<TeamQuota>,
    registeredMachines: Map<String, String>,
) {
    val zone: String get() = term.zone
    val fencingToken: Long get() = term.fencingToken
    val priorLeaderUntilMs: Long get() = term.priorLeaderUntilMs

    /** What waits, by team; followed only where somebody asks for it. */
    val waitingWork = WaitingWork(teamQuotas.size)

    /** On how many machines each image is. */
    val imageCounts = ImageCounts()
    val fetchTimes = FetchTimes()

    private val trigger: PlacementTrigger = object : PlacementTrigger {
        override fun requestFullPass() = scheduler.invalidate()
        override fun requestReordering() = scheduler.queue.invalidate()
    }
    private val unknownUsage = UnknownUsage(registeredMachines, machineTypes)
    private val teams = TeamQuotaLedger(teamQuotas, unknownUsage)
    private val attempts = AttemptLedger(fencingToken, teams, waitingWork, trigger)
    private val jobBook = JobBook(zone, attempts, teams, waitingWork, trigger)
    private val machineBook = MachineBook(registeredMachines.keys, imageCounts)
    private val health = MachineHealth(machineBook, unknownUsage.unreconciled)
    private val books = PartitionBooks(machineBook, attempts, unknownUsage, health)
    private val reconciliation =
        FailoverReconciliation(term, leases, unknownUsage.unreconciled, machineBook, jobBook)
    private val placement = PartitionPlacement(machineBook, jobBook, attempts, teams)
    private val scheduler: Scheduler =
        Scheduler(placement, scheduling.objectives, scheduling.wallTimeOf, scheduling.random)
    private val stragglers = StragglerDetector(zone)
    private val lifecycle = MachineLifecycle(zone, leases, books, stragglers)
    private val reconciler =
        HeartbeatReconciler(zone, attempts, jobBook, ExitReconciler(zone, attempts, stragglers), fetchTimes)
    private val heartbeats =
        HeartbeatProcessor(term, leases, machineTypes, books, reconciliation, reconciler, scheduler)

    /** Registration, release and health of the machines. */
    val fleet = PartitionFleet(books, lifecycle, reconciliation, trigger)

    /** Quota shares of the teams. */
    val quota = PartitionQuota(zone, teams, jobBook, reconciliation, trigger)

    /** What the machines and jobs of this partition add up to. */
    val load = PartitionLoad(machineBook, jobBook, teams)

    /** Every machine that could hold a task of an earlier leader is known, gone, or past its lease. */
    val reconciled: Boolean get() = reconciliation.isComplete

    /** The names of the teams; their places are the indices that [PartitionJob.team] gives. */
    val teamNames: List<String> get() = teams.names

    /** How long tasks that completed here ran, the recent ones counting most; null: none has yet. */
    val meanRunMs: Double? get() = stragglers.meanRunMs

    /** The machines that report to this leader, also those whose lease has expired. */
    val machines: List<Machine> get() = machineBook.all

    /** Jobs that are ready and not over, and of which tasks belong here. */
    val jobs: List<PartitionJob> get() = jobBook.all

    fun machine(id: String): Machine? = machineBook[id]

    fun job(id: String): PartitionJob? = jobBook[id]

    /** Takes over what the replica now shows of [job]. [inherited]: written before this partition was acquired. */
    fun updateJob(job: Job, inherited: Boolean) = jobBook.update(job, isInDoubt = inherited && !reconciled)

    /** Completions of [job] have become durable. */
    fun applyCompletions(job: Job) = jobBook.applyCompletions(job)

    /** See [JobBook.reserveForReassignment]. */
    fun reserveForReassignment(job: PartitionJob, cores: Double): BitSet = jobBook.reserveForReassignment(job, cores)

    /** See [JobBook.completeReassignment]. */
    fun completeReassignment(job: PartitionJob, tasks: BitSet) = jobBook.completeReassignment(job, tasks)

    /** How many tasks of the job are seen to run here. */
    fun runningTasks(jobId: String): Int = jobBook.runningTasks(jobId)

    /** Applies a worker's heartbeat; the decision says what to respond. */
    fun applyHeartbeat(heartbeat: Heartbeat, now: Long): HeartbeatDecision = heartbeats.process(heartbeat, now)

    /**
     * Expires leases, stops stragglers, ends doubts that time has settled, and places what waits. [isLeaderSlow]: this
     * controller responds too late for the workers, and no machine is to blame for responses that are lost.
     */
    fun sweep(now: Long, isLeaderSlow: Boolean = false) {
        lifecycle.check(now, isLeaderSlow)
        reconciliation.completeIfSettled(now)
        scheduler.placeAll(now)
    }

    /** See [FailoverReconciliation.mayTransferLeadership]. */
    fun mayTransferLeadership(now: Long): Boolean = reconciliation.mayTransferLeadership(now)

    /** Jobs with waiting tasks, the most urgent first. */
    fun pendingJobsInOrder(now: Long): List<PartitionJob> = scheduler.queue.sorted(jobs, now)

    /** How many more tasks of the job its team's quota share and its own spread allow here now. */
    fun startableTasks(job: PartitionJob): Int = placement.startableTasks(job)

    /** Stops [attempt] so that its task is placed anew; see [AttemptLedger.stop]. */
    fun stopForMove(attempt: Attempt) = attempts.stop(attempt)

    /**
     * Sets which jobs are within their team's guaranteed quota: they are placed before others, whatever their priority
     * with [beforeAll], and are not stopped for work that is not.
     */
    fun markWithinGuarantee(now: Long, beforeAll: Boolean, withinGuarantee: (PartitionJob) -> Boolean) {
        var hasChanged = scheduler.queue.guaranteedBeforeAll != beforeAll
        scheduler.queue.guaranteedBeforeAll = beforeAll
        for (job in jobs) {
            if (job.markWithinGuarantee(withinGuarantee(job), now)) hasChanged = true
        }
        if (hasChanged) trigger.requestFullPass()
    }
}
