package io.otterknot.partition

import io.otterknot.jobs.Job
import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.HeartbeatSpace.equivalentCores
import io.otterknot.scheduling.ImageCounts
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.Scheduler
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.MachineType
import java.util.BitSet

/**
 * The scheduling state of one partition on its leader: the machines of one zone and the tasks that belong to it. It
 * does no I/O and reads no clock: the caller passes in heartbeats and times, and sends the commands. All times are of
 * the leader's monotonic clock, in milliseconds, and all calls come from the controller's single thread.
 *
 * This is a facade; the state is in [PartitionJobs] (which tasks may start), [PartitionMachines] (which machines
 * report), [AttemptLedger] (which attempts are booked on which machines) and [TeamQuotaLedger] (what the teams use). No
 * task runs twice at a time because [HeartbeatProcessor] sends commands only in responses and [FailoverReconciliation]
 * keeps unreconciled tasks from being started.
 *
 * @param machineTypes finds a machine type by its name, or returns null if it is unknown.
 * @param registeredMachines the names of the types of the machines that leaders of the partition registered, by id.
 */
class Partition(
    private val term: LeadershipTerm,
    evidence: LeaderEvidence,
    scheduling: SchedulingInputs,
    machineTypes: (name: String) -> MachineType?,
    teamQuotas: List<TeamQuota>,
    registeredMachines: Map<String, String>,
    monitoring: PartitionMonitoring,
) {
    val zone: String get() = term.zone
    val fencingToken: Long get() = term.fencingToken
    val priorLeaderUntilMs: Long get() = term.priorLeaderUntilMs

    /** The pending tasks by team; counted only after [WaitingWork.follow] has been called. */
    val waitingWork = WaitingWork(teamQuotas.size)

    /** On how many machines each image is present. */
    val imageCounts = ImageCounts()
    val fetchTimes = FetchTimes()

    private val trigger: PlacementTrigger = object : PlacementTrigger {
        override fun requestFullPass() = scheduler.invalidate()
        override fun requestReordering() = scheduler.queue.invalidate()
    }
    private val unknownUsage = UnknownUsage(registeredMachines, machineTypes)
    private val teams = TeamQuotaLedger(teamQuotas, unknownUsage)
    private val decisions = DecisionLog(term, monitoring.count)
    private val attempts = AttemptLedger(fencingToken, teams, waitingWork, trigger, decisions, monitoring.invariants)
    private val partitionJobs = PartitionJobs(zone, attempts, teams, waitingWork, trigger)
    private val partitionMachines = PartitionMachines(registeredMachines.keys, imageCounts)
    private val health = MachineHealth(partitionMachines, unknownUsage.unreconciled)
    private val state = PartitionState(partitionMachines, attempts, unknownUsage, health, decisions)
    private val reconciliation =
        FailoverReconciliation(term, evidence, unknownUsage.unreconciled, partitionMachines, partitionJobs)
    private val placement = PartitionPlacement(partitionMachines, partitionJobs, attempts, teams)
    private val scheduler: Scheduler =
        Scheduler(placement, scheduling.objectives, scheduling.wallTimeOf, scheduling.random)
    private val stragglers = StragglerDetector(zone)
    private val lifecycle = MachineLifecycle(zone, evidence, state, stragglers)
    private val removals = MachineRemovals(evidence.confirmation, state)
    private val reconciler =
        HeartbeatReconciler(decisions, attempts, partitionJobs, ExitReconciler(zone, attempts, stragglers), fetchTimes)
    private val heartbeats =
        HeartbeatProcessor(term, evidence.leases, machineTypes, state, reconciliation, reconciler, scheduler)

    /** Registration, release and health of the machines. */
    val fleet = PartitionFleet(state, removals, reconciliation, trigger)

    /** Quota shares of the teams. */
    val quota = PartitionQuota(zone, teams, partitionJobs, reconciliation, trigger)

    /** Capacity of the machines and demand of the jobs of this partition. */
    val load = PartitionLoad(partitionMachines, partitionJobs, teams)

    /** Whether every machine that could hold a task of an earlier leader is reconciled, released, or past its lease. */
    val reconciled: Boolean get() = reconciliation.isComplete

    /** The names of the teams, at the indices that [PartitionJob.team] refers to. */
    val teamNames: List<String> get() = teams.names

    /** The mean run time of tasks that completed here, weighted towards recent ones, or null if none has completed. */
    val meanRunMs: Double? get() = stragglers.meanRunMs

    /** The machines that have reported to this leader, including those whose lease has expired. */
    val machines: List<Machine> get() = partitionMachines.all

    /** Jobs that are ready and have not ended, and that have tasks in this partition. */
    val jobs: List<PartitionJob> get() = partitionJobs.all

    fun machine(id: String): Machine? = partitionMachines[id]

    fun job(id: String): PartitionJob? = partitionJobs[id]

    /**
     * Applies the state of [job] in the store replica. [inherited] means that the state was written before this
     * partition was acquired.
     */
    fun updateJob(job: Job, inherited: Boolean) = partitionJobs.update(job, isUnreconciled = inherited && !reconciled)

    /** Applies the completions of [job] that have become durable. */
    fun applyCompletions(job: Job) = partitionJobs.applyCompletions(job)

    /** See [PartitionJobs.reserveForReassignment]. */
    fun reserveForReassignment(job: PartitionJob, cores: Double): BitSet =
        partitionJobs.reserveForReassignment(job, cores, equivalentCores(job.spec, load.meanMachineCores()))

    /** See [PartitionJobs.completeReassignment]. */
    fun completeReassignment(job: PartitionJob, tasks: BitSet) = partitionJobs.completeReassignment(job, tasks)

    /** How many tasks of the job run here according to heartbeats. */
    fun runningTasks(jobId: String): Int = partitionJobs.runningTasks(jobId)

    /** Applies a worker's heartbeat, which took [heartbeatBytes] on the wire, and returns how to respond. */
    fun applyHeartbeat(heartbeat: Heartbeat, now: Long, heartbeatBytes: Int = 0): HeartbeatDecision =
        heartbeats.process(heartbeat, heartbeatBytes, now)

    /**
     * Expires leases, stops stragglers, completes the reconciliation if the leases of all unreconciled machines have
     * expired, and places pending tasks. [isLeaderSlow] means that this controller responds too late for the workers,
     * so that lost responses are not attributed to any machine.
     */
    fun sweep(now: Long, isLeaderSlow: Boolean = false) {
        lifecycle.check(now, isLeaderSlow)
        removals.removeConfirmed()
        reconciliation.completeIfReconciled(now)
        scheduler.placeAll(now)
    }

    /** See [FailoverReconciliation.mayTransferLeadership]. */
    fun mayTransferLeadership(now: Long): Boolean = reconciliation.mayTransferLeadership(now)

    /** Jobs with pending tasks, the most urgent first. */
    fun pendingJobsInOrder(now: Long): List<PartitionJob> = scheduler.queue.sorted(jobs, now)

    /** How many more tasks of the job may start here now by its team's quota share and its own spread over zones. */
    fun startableTasks(job: PartitionJob): Int = placement.startableTasks(job)

    /** Stops [attempt] so that its task is placed again; see [AttemptLedger.stop]. */
    fun stopForMove(attempt: Attempt) = attempts.stop(attempt)

    /**
     * Sets which jobs are within their team's guaranteed quota. They are placed before other jobs, with [beforeAll]
     * even before those of a higher priority, and are not preempted for jobs outside their guaranteed quota.
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
