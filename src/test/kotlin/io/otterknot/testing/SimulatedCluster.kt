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

/** Three controllers, their workers, users, cloud and state service, on virtual time, and the faults they meet. */
class SimulatedCluster(
    val scope: CoroutineScope,
    seed: Long,
    val nowMs: () -> Long,
    teamLimit: Double = 0.0,
    /** How many machines of each kind a zone has. */
    capacity: Int = 4,
    /** The changes a second that controllers are told they may make together. */
    private val changesPerS: Double = 300.0,
    /** What the operators have switched on. */
    var operators: OperatorSettings = OperatorSettings(),
    private val teams: List<TeamSettings> = listOf(TeamSettings("red", cpusMax = teamLimit), TeamSettings("blue")),
) {
    val random = Random(seed)
    val zones = listOf("a", "b", "c")
    val nodes = zones.map { "holt-$it" }
    val state = FakeKeyValueStore(scope, random, nowMs)
    private val limits = teams.associate { it.name to it.cpusMax }
    private val cloud: FakeCloud =
        FakeCloud(zones, capacity, nowMs) { id, zone, spot -> SimulatedWorker(this, id, zone, spot) }
    val rules = SafetyChecks(nowMs, limits) { cloud.workers }
    private val users = SimulatedUsers(scope, random, nowMs, nodes, rules, ::ask)
    private val running = HashMap<String, Job>()

    init {
        state.onOverwrite = rules::overwritten
    }

    private val controllers = HashMap<String, Controller>()
    private val dispatchers = nodes.associateWith { SimulatedNodeDispatcher.of(scope) }

    // ---- faults and other circumstances

    /** Share of reports whose answer does not come back. */
    var lostAnswers = 0.0

    /** How long answers to workers take at the most. */
    var answerMs = 0L

    /** Share of reports of which a copy comes in once more, seconds to well over a lease late, at some node. */
    var copies = 0.0

    /** Nodes whose packets to and from workers are held back. */
    val cutNodes = HashSet<String>()

    /** Nodes that other controllers do not reach, and that reach no other. */
    val peerless = HashSet<String>()

    /** A zone cut off from everything outside it: its node is, and its machines reach no other. */
    private var cutZone: String? = null

    /** The limits of the state service that nodes are told will come. */
    var next = AnnouncedStoreLimits()

    /** Nodes that run the version before this one, as far as what is stored goes: see [ProductionVersionTransport]. */
    val old = HashSet<String>()

    /** Run times of single tasks, where they differ from the rest of their job. */
    val runS = HashMap<String, Double>()

    /** Called when the last task of a job has completed. */
    var onLastEnd: (JobSpec) -> Unit = {}

    var cloudAway: Boolean by cloud::away

    /** Cuts [zone] off; null: the one that is cut off comes back. */
    fun cut(zone: String?) {
        val node = "holt-${cutZone ?: zone}"
        if (zone == null) peerless.remove(node) else peerless.add(node)
        state.refusedFor = zone?.let { "holt-$it" }
        cutZone = zone
    }

    /** Packets between a machine of [zone] and a node are held back. */
    fun isHeld(zone: String, node: String): Boolean = node in cutNodes || (zone == cutZone) != (node == "holt-$cutZone")

    // ---- controllers

    fun startNode(label: String) {
        if (label in running) return
        val settings = settings(label)
        val link = if (label in old) ProductionVersionTransport(state.link(label)) else state.link(label)
        val peers = settings.members.associate { it.label to peer(label, it.label) }
        val links = ControllerTransports(link, link, cloud, peers)
        // A version before load spread knows nothing of the operators' file.
        val known = { if (label in old) OperatorSettings() else operators }
        val controller = Controller(settings, links, Random(random.nextLong()), nowMs, nowMs, known)
        running[label] = scope.launch(dispatchers.getValue(label)) {
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
            state = StoreSettings(600.0, changesPerS, 8.0, 40, next),
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
        if (from in peerless || to in peerless) return@PeerTransport null
        serve(to, timeoutMs) { it.handlePeerRequest(message) }
    }

    /**
     * What [node] makes of a request, unless it ends meanwhile or takes too long. It goes on with a request whose sender
     * has given up.
     */
    private suspend fun <T : Any> serve(node: String, limitMs: Long, handle: suspend (Controller) -> T): T? {
        val controller = controllers[node] ?: return null
        val answer = CompletableDeferred<T?>()
        CoroutineScope(scope.coroutineContext + dispatchers.getValue(node) + running.getValue(node))
            .launch { answer.complete(handle(controller)) }
            .invokeOnCompletion { answer.complete(null) }
        return withTimeoutOrNull(limitMs) { answer.await() }
    }

    /** The node gets no turn for so long, while its clocks run on. */
    fun pause(label: String, ms: Long) = dispatchers.getValue(label).pause(ms)

    fun controller(label: String): Controller = controllers.getValue(label)

    /** How many moves of [kind] have ended in [state], at the controllers that run now. */
    fun moveEnds(kind: MoveKind, state: MoveState): Int = controllers.values.sumOf { it.moveEnds()[kind to state] ?: 0 }

    fun crash(label: String) {
        running.remove(label)?.cancel()
        controllers.remove(label)
    }

    fun restart(label: String) {
        crash(label)
        startNode(label)
    }

    /** What a node answers, unless it ends meanwhile or takes too long. */
    suspend fun ask(label: String, method: String, path: String, body: ByteArray, limitMs: Long): HttpResponse? {
        val controller = controllers[label] ?: return null
        delay(1 + random.nextLong(5))
        val answer = serve(label, limitMs) { it.handleRequest(HttpRequest(method, path, body)) }
        delay(1 + random.nextLong(5))
        return answer.takeIf { controllers[label] === controller }
    }

    /** Who owns which partition, as the state service says. */
    fun owners(): Map<String, String> = zones.mapNotNull { zone ->
        state.value(StoreKeys.partition(zone))?.let { zone to decodeRecord(LeaderRecord.serializer(), it).leader }
    }.toMap()

    // ---- machines

    fun machines(): List<SimulatedWorker> = cloud.workers.toList()

    fun boot(zone: String, spot: Boolean): SimulatedWorker = cloud.boot(zone, spot)

    /** The cloud takes a machine back without a notice. */
    fun take(worker: SimulatedWorker) = cloud.take(worker.id)

    // ---- users

    fun spec(
        id: Int,
        tasks: Int,
        runS: Double = 4.0,
        kind: String = "urgent",
        priority: Priority = Priority.HIGH,
        spot: Boolean = true,
        cores: Double = 2.0,
        zone: String? = null,
        team: String = if (id % 2 == 0) "red" else "blue",
    ) = JobSpec(
        id = "j-%06d".format(id),
        jobClass = kind,
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

    /** A test submits it by itself. */
    fun expect(spec: JobSpec): JobSpec = spec.also { rules.specs[it.id] = it }

    fun user(spec: JobSpec, cancelAfterMs: Long? = null) = users.user(spec, cancelAfterMs)

    fun cancel(spec: JobSpec) = users.cancel(spec)

    fun poll(spec: JobSpec) = users.poll(spec)

    fun submitAgain(spec: JobSpec) = users.submitAgain(spec)

    /** Users call off, within a moment, so many jobs that run; as long as no node confirms it, they ask again. */
    fun cancelNow(count: Int): List<JobSpec> {
        val running = cloud.workers.flatMap { it.holding().values }.map { it.job }.distinct()
        val chosen = running.filter { rules.told(it) != JobState.DONE && it !in rules.asked }.take(count)
        return chosen.map { id -> rules.spec(id).also { cancel(it) } }
    }

    suspend fun balance() = users.balance()

    /** How often the load balancer has taken a node out. */
    fun removals(node: String): Int = users.removals(node)

    suspend fun stranger(id: String) = users.stranger(id)

    var closeLooks: Boolean by users::closeLooks

    // ---- rules

    val broken: MutableList<String> get() = rules.broken
    val starts: Int get() = rules.starts
    val startsAfterCancel: Int get() = rules.startsAfterCancel

    fun inspect() = rules.inspect()

    fun troublesOver() {
        rules.overMs = nowMs()
    }

    fun allOver(): Boolean = rules.allOver()

    fun open(): List<String> = rules.open()
}
