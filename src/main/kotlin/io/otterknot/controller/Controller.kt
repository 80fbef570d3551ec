package io.otterknot.controller

import io.otterknot.api.JobAdmission
import io.otterknot.api.JobApi
import io.otterknot.api.JobStoreAccess
import io.otterknot.autoscaling.Autoscaler
import io.otterknot.autoscaling.HeartbeatTimings
import io.otterknot.autoscaling.LedPartitions
import io.otterknot.autoscaling.MachineTypeCatalog
import io.otterknot.cloud.CloudClient
import io.otterknot.config.OperatorSettings
import io.otterknot.config.Settings
import io.otterknot.heartbeat.HeartbeatEndpoint
import io.otterknot.http.HttpRequest
import io.otterknot.http.HttpResponse
import io.otterknot.jobs.JobTable
import io.otterknot.leadership.FencedTransactions
import io.otterknot.leadership.LeadershipAcquisition
import io.otterknot.leadership.LeadershipListener
import io.otterknot.leadership.LeadershipSettings
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.leadership.storeLeaseTtlMs
import io.otterknot.metrics.Metrics
import io.otterknot.partition.Partition
import io.otterknot.partition.PartitionMonitoring
import io.otterknot.peer.IdlePartitionAnnouncer
import io.otterknot.peer.IdlePartitions
import io.otterknot.peer.PeerMessage
import io.otterknot.quota.QuotaShares
import io.otterknot.quota.QuotaTransfers
import io.otterknot.ratelimit.RateLimiter
import io.otterknot.reassignment.ReassignmentTargets
import io.otterknot.reassignment.ReassignmentTransactions
import io.otterknot.reassignment.TaskReassigner
import io.otterknot.rebalance.LoadSpread
import io.otterknot.rebalance.MoveKind
import io.otterknot.rebalance.MoveState
import io.otterknot.scheduling.PartitionView
import io.otterknot.scheduling.ServiceLevelObjectives
import io.otterknot.scheduling.objectivesByJobClass
import io.otterknot.store.BatchWriter
import kotlinx.coroutines.coroutineScope
import kotlin.random.Random

/**
 * The composition root of a controller: wires the modules and starts their background tasks. Everything runs on one
 * thread, so no state needs a lock; a condition that must hold across a suspension point is checked again after it.
 *
 * State that several modules share has one writer for each part: the watch updates the replica,
 * [ReplicaChangeDispatcher] the job table and the published loads in the partition views, [IdlePartitions] the idle
 * machines in these views, and [PartitionActivator] the map of partitions in service. The exception: components that
 * assign or reassign tasks raise the load in the view of the target until its leader publishes the next one.
 */
class Controller(
    settings: Settings,
    transports: ControllerTransports,
    random: Random,
    /** The monotonic clock, in milliseconds since an arbitrary moment. */
    nowMs: () -> Long,
    /** The wall clock, in milliseconds since 1970. */
    wallMs: () -> Long,
    /** Returns the operators' settings that are in force now. */
    operatorSettings: () -> OperatorSettings = { OperatorSettings() },
) {
    private val site = settings.facts
    private val controllerCount = maxOf(site.nodes, settings.members.size + 1)
    private val metrics = Metrics(nowMs)
    private val invariants = LoggedInvariantMonitor(metrics)
    private val limitShares = LimitShares(controllerCount) { leadership.ledPartitionShare() }
    private val store = StoreStack(site.state, controllerCount, transports, limitShares, metrics, random, nowMs)
    private val cloud = CloudClient(transports.cloud, RateLimiter(site.cloud.rps, 1.0, nowMs, limitShares::ofCloud))
    private val catalog = MachineTypeCatalog(cloud, random)
    private val objectives = ServiceLevelObjectives(objectivesByJobClass(site.objectives))

    private val jobs = JobTable()
    private val partitions = LinkedHashMap<String, Partition>()
    private val views = site.zones.associateWith { PartitionView(it) }
    private val machines = RegisteredMachines(store.replica)

    private val leadership: PartitionLeadership = PartitionLeadership(
        LeadershipSettings(
            settings.label,
            site.zones,
            domains = settings.members.associate { it.label to it.domain } + (settings.label to settings.domain),
            storeLeaseTtlMs(site.workers.leaseS, site.workers.cancelS),
        ),
        store.client,
        store.replica,
        ControllerLeadershipHost(catalog, machines),
        ActivationListener(),
        nowMs,
        random,
    )
    private val fencedTransactions =
        FencedTransactions(store.client, store.replica, leadership, partitions, store.limits, random)
    private val quotaShares = QuotaShares(store.replica, partitions, site.teams, site.zones)
    private val quotaTransfers =
        QuotaTransfers(quotaShares, fencedTransactions, leadership, partitions, views, store.limits, random)
    private val activator: PartitionActivator = PartitionActivator(
        partitions,
        leadership,
        store.replica,
        jobs,
        machines,
        PartitionFactory(site, catalog, quotaShares, objectives, random, nowMs, wallMs),
        PartitionMonitoring({ metrics.count(it) }, invariants),
    )
    private val sweeper = PartitionSweeper(partitions, activator, metrics, nowMs)

    private val autoscaler = Autoscaler(
        cloud,
        catalog,
        LedPartitions(leadership, partitions),
        objectives,
        HeartbeatTimings(site.workers.heartbeatPeriodMs, site.workers.leaseMs),
        nowMs,
        random,
    )
    private val machineTypeRecorder = MachineTypeRecorder(store.access, catalog)

    private val reassignment = ReassignmentTransactions(fencedTransactions, store.limits)
    private val loadSpread: LoadSpread = LoadSpread(
        ControllerLoadSpreadHost(partitions, views, site.teams, jobs, leadership, catalog, store.health),
        reassignment,
        { operatorSettings().loadSpread },
        nowMs,
        wallMs,
        random,
    )
    private val reassigner = TaskReassigner(
        reassignment,
        ReassignmentTargets(views, leadership, ControllerReassignmentConstraints(catalog, loadSpread)),
        leadership,
        partitions,
        nowMs,
        wallMs,
        random,
    )

    private val limitedTeams = site.teams.filter { it.cpusMax > 0 || it.gpusMax > 0 }.map { it.name }
    private val stateWriter = PartitionStateWriter(
        store.replica,
        partitions,
        leadership,
        BatchWriter(store.client, store.replica, random, store.limits, nowMs),
        sources = listOf(
            MachineSegmentWrites(store.replica, store.limits),
            CompletionSegments(jobs, store.limits),
            TakeoverMarkerRemoval(store.replica, nowMs),
            PartitionLoadPublisher(store.replica, limitedTeams, store.limits, nowMs, loadSpread::record),
        ),
        JobFinalizer(store.access, jobs, leadership, wallMs),
    )

    private val isolationDetector = IsolationDetector(store.health, store.relays, nowMs)
    private val jobApi = JobApi(
        JobStoreAccess(store.client, store.replica, jobs, store.limits),
        JobAdmission(site.teams) { catalog.types },
        partitions,
        partitionViews = { views.values.toList() },
        isolationDetector::isIsolated,
        wallMs,
        random,
    )
    private val router = RequestRouter(jobApi, HeartbeatEndpoint(settings.label, leadership, partitions, nowMs))

    private val idlePartitions = IdlePartitions(views) { store.health.isAnswering }
    private val idlePartitionAnnouncer =
        IdlePartitionAnnouncer(settings.label, idlePartitions, transports.peers, partitions, nowMs, random)
    private val leadershipRequester = LeadershipRequester(leadership, transports.peers, random)
    private val peerRequests =
        PeerRequestHandler(leadership, partitions, idlePartitions, store.health, transports.state, nowMs)

    private val dispatcher =
        ReplicaChangeDispatcher(jobs, partitions, machines, leadership, catalog, quotaShares, views)

    /** Runs until cancelled. */
    suspend fun run() = coroutineScope {
        store.replica.onChange = dispatcher::applyChange
        store.replica.onBatchApplied = activator::activateAcquired
        startBackgroundTasks(BackgroundTasks(this))
    }

    /**
     * Starts the background tasks. The order is part of the behaviour: tasks run for the first time, and draw random
     * numbers, in the order in which they are started.
     */
    private fun startBackgroundTasks(tasks: BackgroundTasks) {
        tasks.start("store-probe") { store.connection.probe() }
        tasks.start("replica-watch") { store.replica.followWatch() }
        tasks.start("read-barrier") { store.replica.serveReadBarriers() }
        tasks.start("store-lease") { leadership.keepStoreLease() }
        tasks.start("leadership-acquisition") { leadership.acquirePartitions() }
        tasks.start("machine-types") { machineTypeRecorder.run() }
        tasks.start("autoscaler") { autoscaler.scaleContinuously() }
        tasks.start("cloud-inventory") { autoscaler.inspectContinuously() }
        tasks.start("state-writer") { stateWriter.run() }
        tasks.start("task-reassigner") { reassigner.run() }
        tasks.start("load-spread") { loadSpread.run() }
        tasks.start("quota-shares") { quotaTransfers.run() }
        tasks.start("idle-partition-announcer") { idlePartitionAnnouncer.announceContinuously() }
        tasks.start("leadership-requester") { leadershipRequester.run() }
        tasks.start("partition-sweeper") { sweeper.run() }
    }

    /** Waits until the replica has been loaded for the first time. */
    suspend fun awaitLoaded() = store.replica.awaitLoaded()

    /** Answers a request of a user, a worker or the load balancer. */
    suspend fun handleRequest(request: HttpRequest): HttpResponse = router.route(request)

    /** Answers a request of another controller. */
    suspend fun handlePeerRequest(request: PeerMessage): PeerMessage = peerRequests.handle(request)

    /** How many violated invariants this controller has found since its start. */
    fun invariantViolations(): Int = invariants.count

    /** Returns the number of load-spread moves that have ended in the partitions led now, by kind and final state. */
    fun moveEnds(): Map<Pair<MoveKind, MoveState>, Int> = loadSpread.endedMoveCounts()

    /** Forwards leadership changes to [activator], which can only be constructed after [leadership]. */
    private inner class ActivationListener : LeadershipListener {
        override fun leadershipAcquired(acquisition: LeadershipAcquisition) = activator.enqueue(acquisition)
        override fun leadershipLost(zone: String) = activator.deactivate(zone)
    }
}
