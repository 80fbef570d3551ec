package io.otterknot.controller

import io.otterknot.api.JobApi
import io.otterknot.autoscaling.Autoscaler
import io.otterknot.autoscaling.MachineTypeCatalog
import io.otterknot.autoscaling.ScalingPolicy
import io.otterknot.cloud.CloudClient
import io.otterknot.config.OperatorSettings
import io.otterknot.config.Settings
import io.otterknot.heartbeat.HeartbeatEndpoint
import io.otterknot.http.HttpRequest
import io.otterknot.http.HttpResponse
import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.jobs.JobTable
import io.otterknot.leadership.FencedTransactions
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.leadership.leaseTtlMs
import io.otterknot.metrics.Metrics
import io.otterknot.partition.LeadershipTerm
import io.otterknot.partition.LeaseTimings
import io.otterknot.partition.Partition
import io.otterknot.partition.SchedulingInputs
import io.otterknot.partition.TeamQuota
import io.otterknot.peer.IdlePartitionAnnouncer
import io.otterknot.peer.IdlePartitions
import io.otterknot.peer.PEER_RESPONSE_TIMEOUT_MS
import io.otterknot.peer.PeerMessage
import io.otterknot.peer.PeerRelay
import io.otterknot.peer.PeerTransport
import io.otterknot.quota.QuotaShares
import io.otterknot.ratelimit.RateLimitShare
import io.otterknot.ratelimit.RateLimiter
import io.otterknot.ratelimit.RateLimits
import io.otterknot.reassignment.TaskReassigner
import io.otterknot.reassignment.TaskReassignment
import io.otterknot.rebalance.LoadSpread
import io.otterknot.rebalance.LoadSpreadHost
import io.otterknot.rebalance.MoveKind
import io.otterknot.rebalance.MoveState
import io.otterknot.records.QuotaAmount
import io.otterknot.scheduling.PartitionView
import io.otterknot.scheduling.ServiceLevelObjectives
import io.otterknot.scheduling.objectivesByJobClass
import io.otterknot.store.BatchWriter
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.RelayPool
import io.otterknot.store.StoreConnection
import io.otterknot.store.StoreHealth
import io.otterknot.store.StoreReplica
import io.otterknot.store.WriteLimits
import io.otterknot.wire.JobSpec
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** How a controller reaches the others and the services; tests give stand-ins. */
class ControllerTransports(
    val state: Transport,
    val watch: Transport,
    val cloud: Transport,
    val peers: Map<String, PeerTransport>,
)

/** One controller: everything it keeps, and the coroutines that keep it going, all on one thread. */
class Controller(
    private val settings: Settings,
    private val links: ControllerTransports,
    private val random: Random,
    private val nowMs: () -> Long,
    private val wallMs: () -> Long,
    /** The operators' own settings as they are now. */
    private val operators: () -> OperatorSettings = { OperatorSettings() },
) {
    private val log = LoggerFactory.getLogger(Controller::class.java)
    private val facts = settings.facts
    private val nodes = maxOf(facts.nodes, settings.members.size + 1)
    private val zones = facts.zones
    private val budget = RateLimiter(
        facts.state.rps,
        facts.state.writeRps,
        nowMs,
        { RateLimitShare(share(EVEN_REQUESTS), share(EVEN_CHANGES)) },
        RateLimits(facts.state.leastRps, facts.state.leastWriteRps),
    )
    private val figures = Metrics(nowMs)
    private val contact = StoreHealth(nowMs)
    private val relays = RelayPool(links.peers.values.map(::PeerRelay), random, nowMs)
    private val stateLink = StoreConnection(links.state, contact, relays)
    private val state = KeyValueStoreClient(stateLink, StoreConnection(links.watch, contact, relays), budget, figures)

    // A tenth of this node's requests goes to reopened watches at most every so often.
    private val replica =
        StoreReplica(state, random, nowMs, pauseMs = (3_500.0 * nodes / facts.state.rps).toLong().coerceIn(120, 250))
    private val jobs = JobTable()

    /** Nothing larger is written, now or once the limits are lowered. */
    private val limits = WriteLimits((facts.state.leastValueKb * 1024).toInt(), facts.state.leastTxnOps)
    private val partitions = LinkedHashMap<String, Partition>()
    private val domains = settings.members.associate { it.label to it.domain } + (settings.label to settings.domain)
    private val machines = RegisteredMachines(replica)
    private val ownership: PartitionLeadership = PartitionLeadership(
        settings.label, zones, domains, state, replica,
        leaseTtlMs(facts.workers.leaseS, facts.workers.cancelS), nowMs, random,
        machines = { machines.of(it).keys },
        onClaim = { zone, token, overriding -> claimed += Claim(zone, token, overriding) },
        onLoss = { partitions.remove(it) },
        mayClaim = { catalog.types != null },
    )
    private class Claim(val zone: String, val token: Long, val overriding: Boolean)

    private val claimed = ArrayList<Claim>()
    private val cloud = CloudClient(
        links.cloud,
        RateLimiter(facts.cloud.rps, 1.0, nowMs, { RateLimitShare(share(EVEN_CALLS), 1.0) }),
    )
    private val leaseMs = (facts.workers.leaseS * 1000).toLong()
    private val aims = ServiceLevelObjectives(objectivesByJobClass(facts.objectives))
    private val catalog = MachineTypeCatalog(cloud, random)
    private val fleet = Autoscaler(
        cloud, catalog, ownership, partitions,
        ScalingPolicy(), aims,
        (facts.workers.reportS * 1000).toLong(), leaseMs, nowMs, random,
    )
    private val typeRecorder = MachineTypeRecorder(state, replica, budget, limits)
    private val views = zones.associateWith { PartitionView(it) }
    private val writer = BatchWriter(state, replica, random, limits, nowMs)
    private val recorder = PartitionStateWriter(
        replica, partitions, ownership, writer,
        CompletionSegments(jobs, limits),
        JobFinalizer(state, replica, jobs, ownership, budget, limits, wallMs),
        limits,
        facts.teams.filter { it.cpusMax > 0 || it.gpusMax > 0 }.map { it.name },
        nowMs,
        pressureOf = { loadSpread.record(it) },
    )
    private val users = JobApi(
        state, replica, jobs, partitions, { views.values.toList() }, { catalog.types }, facts.teams,
        limits, ::isolated, wallMs, random,
    )
    private val ownerTxn = FencedTransactions(state, replica, ownership, partitions, limits, random)
    private val allotments =
        QuotaShares(ownerTxn, replica, ownership, partitions, views, limits, facts.teams, zones, random)
    private val transfer = TaskReassignment(ownerTxn, limits)
    private val loadSpread: LoadSpread =
        LoadSpread(LoadSpreadSurroundings(), transfer, { operators().loadSpread }, nowMs, wallMs, random)
    private val handover = TaskReassigner(
        transfer, ownership, partitions, views, catalog::offers, nowMs, wallMs, random,
        isDecidedElsewhere = loadSpread::decidesHandOvers,
    )
    private val reports = HeartbeatEndpoint(settings.label, ownership, partitions, nowMs)
    private val router = RequestRouter(users, reports)
    private val dispatcher = ReplicaChangeDispatcher(jobs, partitions, machines, ownership, catalog, allotments, views)
    private val idlePartitions = IdlePartitions(views) { contact.isAnswering }
    private val announcer =
        IdlePartitionAnnouncer(settings.label, idlePartitions, links.peers, partitions, nowMs, random)

    /**
     * This node's share of a limit: [even] of it goes evenly to all nodes, the rest with the partitions, since their
     * owners have the work. One node at a time may act for a partition, so the shares never pass the whole together.
     */
    private fun share(even: Double): Double = SHARE * (even / nodes + (1 - even) * ownership.ledPartitionShare())

    /** Runs until cancelled. */
    suspend fun run() = coroutineScope {
        replica.onChange = dispatcher::changed
        replica.onBatchApplied = ::takeUpClaims
        backgroundTask("contact") { stateLink.probe() }
        backgroundTask("replica") { replica.followWatch() }
        backgroundTask("barrier") { replica.serveReadBarriers() }
        backgroundTask("lease") { ownership.keepStoreLease() }
        backgroundTask("claims") { ownership.acquirePartitions() }
        backgroundTask("types") {
            // What is remembered will do for a start, when there is most to do.
            withTimeoutOrNull(REMEMBER_MS) { replica.awaitLoaded() }
            if (catalog.types != null) delay(FRESH_TYPES_MS)
            catalog.learn(typeRecorder::record)
        }
        backgroundTask("fleet") { fleet.manage() }
        backgroundTask("inspection") { fleet.inspect() }
        backgroundTask("records") { recorder.run() }
        backgroundTask("handover") { handover.balance() }
        backgroundTask("load spread") { loadSpread.run() }
        backgroundTask("allotments") { allotments.share() }
        backgroundTask("announcements") { announcer.announceContinuously() }
        backgroundTask("work") { seekWork() }
        backgroundTask("sweep") {
            var slowUntilMs = Long.MIN_VALUE
            while (true) {
                val before = nowMs()
                delay(SWEEP_MS)
                val now = nowMs()
                figures.recordDuration("sweep late", now - before - SWEEP_MS)
                figures.logPeriodically()
                if (now - before > SWEEP_MS + SLOW_MS) slowUntilMs = now + SLOW_FOR_MS
                takeUpClaims()
                partitions.values.forEach { it.sweep(now, isLeaderSlow = now < slowUntilMs) }
            }
        }
    }

    /** A background task is started again should it fail: nobody else would do its work. */
    private fun CoroutineScope.backgroundTask(name: String, work: suspend CoroutineScope.() -> Unit) = launch {
        while (true) {
            try {
                coroutineScope { work() }
            } catch (e: kotlinx.coroutines.CancellationException) {
                throw e
            } catch (e: Exception) {
                log.error("{} failed and is started again", name, e)
            }
            delay(RESTART_PAUSE_MS)
        }
    }

    suspend fun peer(message: PeerMessage): PeerMessage {
        if (message is PeerMessage.RelayRequest) return carry(message)
        if (message is PeerMessage.TransferLeadership &&
            partitions[message.zone]?.mayTransferLeadership(nowMs()) == true
        ) {
            ownership.transferLeadership(message.zone, message.ledPartitions)
        }
        return idlePartitions.respondTo(message, nowMs())
    }

    /** A node that owns nothing while another has several partitions asks for one, some time after it came up. */
    private suspend fun seekWork() {
        while (true) {
            delay(SEEK_MS + random.nextLong(SEEK_MS))
            val (zone, owner) = ownership.wanted() ?: continue
            val message = PeerMessage.TransferLeadership(zone, ownership.ledPartitionCount)
            links.peers[owner]?.call(message, PEER_RESPONSE_TIMEOUT_MS)
        }
    }

    /** Asks the state service for another controller, which has taken the request out of its own share. */
    private suspend fun carry(message: PeerMessage.RelayRequest): PeerMessage {
        if (!contact.isAnswering) return PeerMessage.RelayResponse.UNANSWERED
        val reply = links.state.call(message.method, message.target, message.body, message.timeoutMs.toLong())
        if (reply !is Reply.Answer) return PeerMessage.RelayResponse.UNANSWERED
        return PeerMessage.RelayResponse(reply.status, reply.body)
    }

    /**
     * Neither the state service nor any other controller answers this node: its users are better off elsewhere. When
     * others answer but have lost the service too, all are in the same position and leaving would help nobody.
     */
    private fun isolated(): Boolean =
        contact.unreachable.value && relays.noPeerAnswers && nowMs() - contact.lastAnswerMs > ISOLATED_MS

    /** What load spread sees of this controller. */
    private inner class LoadSpreadSurroundings : LoadSpreadHost {
        override val partitions get() = this@Controller.partitions
        override val views get() = this@Controller.views
        override val teams get() = facts.teams
        override val liveJobs get() = jobs.activeJobs
        override val hasState get() = contact.isAnswering
        override fun mayActFor(partition: Partition) = ownership.token(partition.zone) == partition.fencingToken
        override fun isOwned(zone: String) = ownership.leaderOf(zone) != null
        override fun offers(zone: String, spec: JobSpec) = catalog.offers(zone, spec)
    }

    /** How many moves of load spread have ended in each state, by kind, in the partitions owned now. */
    fun moveEnds(): Map<Pair<MoveKind, MoveState>, Int> = loadSpread.ends()

    /** Waits until the state has been read. */
    suspend fun loaded() = replica.awaitLoaded()

    /** Answers a request of a user, a worker or the load balancer. */
    suspend fun route(request: HttpRequest): HttpResponse = router.route(request)

    /** A claimed partition is taken up once the replica holds everything that was written before the claim. */
    private fun takeUpClaims() {
        val due = claimed.filter { replica.revision >= it.token }
        claimed.removeAll(due)
        for (claim in due) {
            val zone = claim.zone
            val token = claim.token
            if (ownership.acquiredToken(zone) != token) continue
            val registered = machines.of(zone)
            val wallAhead = { wallMs() - nowMs() }
            val partition = Partition(
                term = LeadershipTerm(
                    zone = zone,
                    fencingToken = token,
                    acquiredMs = nowMs(),
                    priorLeaderUntilMs = ownership.takeoverMarkers.othersUntilMs(zone, claim.overriding),
                ),
                leases = LeaseTimings(leaseMs),
                scheduling = SchedulingInputs(aims, random, wallTimeOf = { it + wallAhead() }),
                machineTypes = catalog::type,
                teamQuotas = teamShares(zone),
                registeredMachines = registered,
            )
            jobs.activeJobs.forEach { partition.updateJob(it, inherited = true) }
            partitions[zone] = partition
            log.info("{}: taken up with {} jobs and {} registered machines", zone, partition.jobs.size, registered.size)
        }
    }

    private fun teamShares(zone: String) = facts.teams.map { team ->
        TeamQuota(
            team.name,
            if (team.cpus >
                0
            ) {
                team.cpus
            } else {
                1.0
            },
            allotments.of(team.name).byZone[zone] ?: QuotaAmount(),
        )
    }

    private companion object {
        /** What all nodes together use of a limit; the rest is left for clocks that differ. */
        const val SHARE = 0.92
        const val EVEN_REQUESTS = 0.7
        const val EVEN_CHANGES = 0.7
        const val EVEN_CALLS = 0.25
        const val ISOLATED_MS = 3_500L
        const val SEEK_MS = 6_000L
        const val REMEMBER_MS = 4_000L
        const val FRESH_TYPES_MS = 10_000L
        const val SWEEP_MS = 500L
        const val SLOW_MS = 1_500L
        const val SLOW_FOR_MS = 5_000L
        const val RESTART_PAUSE_MS = 500L
    }
}
