package io.otterknot.testing

import io.otterknot.config.AnnouncedStoreLimits
import io.otterknot.config.CloudSettings
import io.otterknot.config.Endpoints
import io.otterknot.config.Member
import io.otterknot.config.ObjectiveSettings
import io.otterknot.config.OperatorSettings
import io.otterknot.config.Settings
import io.otterknot.config.SiteSettings
import io.otterknot.config.StoreSettings
import io.otterknot.config.TeamSettings
import io.otterknot.config.WorkerSettings
import io.otterknot.controller.Controller
import io.otterknot.controller.ControllerTransports
import io.otterknot.http.HttpRequest
import io.otterknot.http.HttpResponse
import io.otterknot.peer.PeerTransport
import io.otterknot.rebalance.MoveKind
import io.otterknot.rebalance.MoveState
import io.otterknot.records.LeaderRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.wire.JobSpec
import io.otterknot.wire.JobState
import io.otterknot.wire.Priority
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/**
 * Three controllers with their workers, users, cloud and state service, on virtual time. Faults are injected through
 * its functions and properties.
 */
class SimulatedCluster(
    override val scope: CoroutineScope,
    seed: Long,
    override val nowMs: () -> Long,
    teamLimit: Double = 0.0,
    /** How many machines of each kind (spot or not) the cloud has in a zone. */
    capacity: Int = 4,
    /** The changes per second that all controllers may write together, by their settings. */
    private val changesPerS: Double = 300.0,
    /** The operator settings of all controllers; they can be changed while the controllers run. */
    var operators: OperatorSettings = OperatorSettings(),
    private val teams: List<TeamSettings> = listOf(TeamSettings("red", cpusMax = teamLimit), TeamSettings("blue")),
) : FaultTarget {
    override val random = Random(seed)
    override val zones = listOf("a", "b", "c")
    override val nodes = zones.map { "holt-$it" }
    override val state = FakeKeyValueStore(scope, random, nowMs)
    private val limits = teams.associate { it.name to it.cpusMax }
    private val cloud: FakeCloud =
        FakeCloud(zones, capacity, nowMs) { id, zone, spot -> SimulatedWorker(this, id, zone, spot) }
    override val checks = SafetyChecks(nowMs, limits) { cloud.workers }
    private val users = SimulatedUsers(scope, random, nowMs, nodes, checks, ::sendRequest)
    private val nodeJobs = HashMap<String, Job>()

    init {
        state.onOverwrite = checks::onOverwrite
    }

    private val controllers = HashMap<String, Controller>()
    private val dispatchers = nodes.associateWith { SimulatedNodeDispatcher.of(scope) }

    // ---- faults and other conditions

    override var lostReportAnswerShare = 0.0
    override var maxAnswerDelayMs = 0L
    override var duplicateReportShare = 0.0

    /** Nodes whose traffic with workers is held back until they are removed from this set. */
    val nodesCutFromWorkers = HashSet<String>()

    override val nodesWithoutPeers = HashSet<String>()

    /** The zone whose node and machines reach nothing outside the zone, or null. */
    private var isolatedZone: String? = null

    /** The limits of the state service that the settings of started nodes announce. */
    var announcedLimits = AnnouncedStoreLimits()

    /** Nodes that access stored data as the version in production does: see [ProductionVersionTransport]. */
    val previousVersionNodes = HashSet<String>()

    override val taskRunS = HashMap<String, Double>()

    /** Called when the last task of a job completes on its machine. */
    var onJobCompleted: (JobSpec) -> Unit = {}

    override fun jobCompleted(spec: JobSpec) = onJobCompleted(spec)

    var cloudUnavailable: Boolean by cloud::unavailable

    /** Isolates [zone] from everything outside it; null reconnects the isolated zone. */
    fun isolateZone(zone: String?) {
        val node = "holt-${isolatedZone ?: zone}"
        if (zone == null) nodesWithoutPeers.remove(node) else nodesWithoutPeers.add(node)
        state.refusedNode = zone?.let { "holt-$it" }
        isolatedZone = zone
    }

    override fun isHeldBack(zone: String, node: String): Boolean =
        node in nodesCutFromWorkers || (zone == isolatedZone) != (node == "holt-$isolatedZone")

    // ---- controllers

    override fun startNode(label: String) {
        if (label in nodeJobs) return
        val settings = settings(label)
        val link =
            if (label in previousVersionNodes) ProductionVersionTransport(state.link(label)) else state.link(label)
        val peers = settings.members.associate { it.label to peer(label, it.label) }
        val links = ControllerTransports(link, link, cloud, peers)
        // The version in production is older than load spread and does not read the operators' file.
        val known = { if (label in previousVersionNodes) OperatorSettings() else operators }
        val controller = Controller(settings, links, Random(random.nextLong()), nowMs, nowMs, known)
        nodeJobs[label] = scope.launch(dispatchers.getValue(label)) {
            controllers[label] = controller
            controller.run()
        }
    }

    private fun settings(label: String): Settings {
        val facts = SiteSettings(
            nodes = 3,
            zones = zones,
            teams = teams,
            objectives = listOf(ObjectiveSettings("wait", "urgent", 8.0, 0.9)),
            workers = WorkerSettings(0.8, LEASE_S, CANCEL_S),
            state = StoreSettings(600.0, changesPerS, 8.0, 40, announcedLimits),
            cloud = CloudSettings(30.0, 1.0),
        )
        return Settings(
            label = label,
            domain = label.removePrefix("holt-"),
            bind = "127.0.0.1:1",
            peerListen = "127.0.0.1:2",
            members = nodes.filter { it != label }.map { Member(it, it.removePrefix("holt-"), "127.0.0.1:1") },
            endpoints = Endpoints("127.0.0.1:3", "127.0.0.1:4"),
            facts = facts,
        )
    }

    private fun peer(from: String, to: String) = PeerTransport { message, timeoutMs ->
        if (from in nodesWithoutPeers || to in nodesWithoutPeers) return@PeerTransport null
        serve(to, timeoutMs) { it.handlePeerRequest(message) }
    }

    /**
     * Runs [handle] on [node] and returns its result, or null if the node crashes meanwhile or takes longer than
     * [limitMs]. After a timeout the node continues to handle the request.
     */
    private suspend fun <T : Any> serve(node: String, limitMs: Long, handle: suspend (Controller) -> T): T? {
        val controller = controllers[node] ?: return null
        val answer = CompletableDeferred<T?>()
        CoroutineScope(scope.coroutineContext + dispatchers.getValue(node) + nodeJobs.getValue(node))
            .launch { answer.complete(handle(controller)) }
            .invokeOnCompletion { answer.complete(null) }
        return withTimeoutOrNull(limitMs) { answer.await() }
    }

    /** Suspends all coroutines of the node for [ms] while its clocks go on. */
    fun pause(label: String, ms: Long) = dispatchers.getValue(label).pause(ms)

    fun controller(label: String): Controller = controllers.getValue(label)

    /** The number of moves of [kind] that have ended in [state], at the controllers that run now. */
    fun moveEnds(kind: MoveKind, state: MoveState): Int = controllers.values.sumOf { it.moveEnds()[kind to state] ?: 0 }

    override fun crash(label: String) {
        nodeJobs.remove(label)?.cancel()
        controllers.remove(label)
    }

    fun restart(label: String) {
        crash(label)
        startNode(label)
    }

    /** Sends a request to a node; returns null if it is down, crashes meanwhile or takes longer than [limitMs]. */
    override suspend fun sendRequest(
        label: String,
        method: String,
        path: String,
        body: ByteArray,
        limitMs: Long,
    ): HttpResponse? {
        val controller = controllers[label] ?: return null
        delay(1 + random.nextLong(5))
        val answer = serve(label, limitMs) { it.handleRequest(HttpRequest(method, path, body)) }
        delay(1 + random.nextLong(5))
        return answer.takeIf { controllers[label] === controller }
    }

    override fun partitionLeaders(): Map<String, String> = zones.mapNotNull { zone ->
        state.value(StoreKeys.partition(zone))?.let { zone to decodeRecord(LeaderRecord.serializer(), it).leader }
    }.toMap()

    // ---- machines

    override fun machines(): List<SimulatedWorker> = cloud.workers.toList()

    fun boot(zone: String, spot: Boolean): SimulatedWorker = cloud.boot(zone, spot)

    override fun reclaim(worker: SimulatedWorker) = cloud.reclaim(worker.id)

    // ---- users

    fun spec(
        id: Int,
        tasks: Int,
        runS: Double = 4.0,
        jobClass: String = "urgent",
        priority: Priority = Priority.HIGH,
        spot: Boolean = true,
        cores: Double = 2.0,
        zone: String? = null,
        team: String = if (id % 2 == 0) "red" else "blue",
    ) = JobSpec(
        id = "j-%06d".format(id),
        jobClass = jobClass,
        team = team,
        priority = priority,
        tasks = tasks,
        cores = cores,
        memoryGb = 4.0,
        image = "img",
        imageGb = 0.5,
        spot = spot,
        estimateS = runS,
        spreadAcrossZones = id % 5 == 0,
        sameZone = id % 7 == 0,
        zone = zone,
    )

    fun body(spec: JobSpec): ByteArray = submissionBody(spec)

    /** Registers a job with the safety checks that the test submits itself. */
    fun registerJob(spec: JobSpec): JobSpec = spec.also { checks.specs[it.id] = it }

    fun startUser(spec: JobSpec, cancelAfterMs: Long? = null) = users.startUser(spec, cancelAfterMs)

    fun cancel(spec: JobSpec) = users.cancel(spec)

    fun poll(spec: JobSpec) = users.poll(spec)

    fun submitAgain(spec: JobSpec) = users.submitAgain(spec)

    /** Users cancel up to [count] running jobs at the same time and retry until a node confirms it. */
    fun cancelRunning(count: Int): List<JobSpec> = users.cancelRunning(count, machines())

    suspend fun runLoadBalancer() = users.runLoadBalancer()

    /** How often the load balancer has taken [node] out of rotation. */
    fun removals(node: String): Int = users.removals(node)

    suspend fun pollUnknownJob(id: String) = users.pollUnknownJob(id)

    var requestBursts: Boolean by users::requestBursts

    // ---- safety checks

    val violations: MutableList<String> get() = checks.violations
    val starts: Int get() = checks.starts
    val startsAfterCancel: Int get() = checks.startsAfterCancel

    fun inspect() {
        checks.inspect()
        for ((node, controller) in controllers) {
            if (controller.invariantViolations() > 0) violations.add("$node found a violated invariant")
        }
    }

    fun faultsCleared() {
        checks.faultsClearedMs = nowMs()
    }

    fun allTerminal(): Boolean = checks.allTerminal()

    fun nonTerminalJobs(): List<String> = checks.nonTerminalJobs()
}
