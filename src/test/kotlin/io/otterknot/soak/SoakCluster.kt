package io.otterknot.soak

import io.otterknot.http.HttpClient
import io.otterknot.http.HttpResponse
import io.otterknot.http.HttpServer
import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
import io.otterknot.net.TcpListener
import io.otterknot.records.LeaderRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.testing.FakeCloud
import io.otterknot.testing.FakeKeyValueStore
import io.otterknot.testing.FaultTarget
import io.otterknot.testing.SafetyChecks
import io.otterknot.testing.SimulatedUsers
import io.otterknot.testing.SimulatedWorker
import io.otterknot.wire.JobSpec
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.nio.file.Files
import kotlin.random.Random

/**
 * Three real controller processes on loopback, with the simulated workers, users, cloud and state service of the
 * simulated cluster in this process. All times are of this process's monotonic clock.
 */
class SoakCluster(override val scope: CoroutineScope, private val loop: EventLoop, private val options: SoakOptions) :
    FaultTarget {
    private val startedNs = System.nanoTime()
    override val nowMs: () -> Long = { (System.nanoTime() - startedNs) / NANOS_PER_MS }
    override val random = Random(options.seed)
    override val zones = listOf("a", "b", "c")
    override val nodes = zones.map { "holt-$it" }
    override val state = FakeKeyValueStore(scope, random, nowMs)
    override val taskRunS = HashMap<String, Double>()
    override var lostReportAnswerShare = 0.0
    override var maxAnswerDelayMs = 0L
    override var duplicateReportShare = 0.0
    override val nodesWithoutPeers = HashSet<String>()

    /** Nodes whose traffic with the store is held back. */
    val nodesWithoutStore = HashSet<String>()

    /** The zone whose node and machines reach nothing outside the zone, or null. */
    var isolatedZone: String? = null

    private val redCores = options.machines * CORES_PER_MACHINE / RED_SHARE_DIVISOR
    private val ports = SoakPorts(options.portBase, nodes)
    private val settings = SoakSettings(ports, nodes.zip(zones).toMap(), redCores)
    private val cloud: FakeCloud = FakeCloud(zones, options.machines / zones.size, nowMs) { id, zone, spot ->
        SimulatedWorker(this, id, zone, spot)
    }
    override val checks = SafetyChecks(nowMs, mapOf("red" to redCores, "blue" to 0.0)) { cloud.workers }
    val users = SimulatedUsers(scope, random, nowMs, nodes, checks, ::sendRequest)
    private val clients = nodes.associateWith {
        HttpClient(loop, HostPort(LOOPBACK, ports.workersAndUsers(it)), maxIdle = MAX_IDLE_CONNECTIONS)
    }
    private val controllers = nodes.associateWith { node ->
        val file = Files.writeString(options.directory.resolve("$node.toml"), settings.of(node))
        ManagedController(file, options.directory.resolve("$node.log").toFile(), options.logLevel)
    }
    private val listeners = ArrayList<TcpListener>()
    private val taskEvents = ArrayList<String>()

    /** Starts the services, the controllers and the machines. */
    fun start() {
        serve(ports.cloud, cloud)
        for (node in nodes) serve(ports.state(node), storeLink(node))
        for (from in nodes) for (to in nodes) if (from != to) startPeerLink(from, to)
        nodes.forEach(::startNode)
        repeat(options.machines) { cloud.boot(zones[it % zones.size], spot = it % 2 == 1) }
        scope.launch { users.runLoadBalancer() }
    }

    /** Ends all processes and closes the ports. */
    fun stop() {
        nodes.forEach(::crash)
        listeners.forEach(TcpListener::close)
    }

    /** The ports at which clients reach each controller. */
    fun controllerPorts(): List<ControllerPorts> = nodes.map {
        ControllerPorts(HostPort(LOOPBACK, ports.workersAndUsers(it)), HostPort(LOOPBACK, ports.peers(it)))
    }

    override fun machines(): List<SimulatedWorker> = cloud.workers.toList()

    override fun partitionLeaders(): Map<String, String> = leaderRecords().mapValues { it.value.leader }

    /** The leader record of each partition that has one: it names the leader and its process. */
    fun leaderRecords(): Map<String, LeaderRecord> = zones.mapNotNull { zone ->
        state.value(StoreKeys.partition(zone))?.let { zone to decodeRecord(LeaderRecord.serializer(), it) }
    }.toMap()

    override fun crash(label: String) = controllers.getValue(label).kill()

    override fun startNode(label: String) = controllers.getValue(label).start()

    fun pause(label: String) = controllers.getValue(label).pause()

    fun resume(label: String) = controllers.getValue(label).resume()

    override fun reclaim(worker: SimulatedWorker) = cloud.reclaim(worker.id)

    override fun isHeldBack(zone: String, node: String): Boolean =
        (zone == isolatedZone) != (node == "holt-$isolatedZone")

    override fun jobCompleted(spec: JobSpec) = Unit

    override fun taskEvent(worker: SimulatedWorker, task: String, event: String) {
        taskEvents.add("${nowMs()} $task ${worker.id} ${worker.zone} $event")
    }

    /** All task events whose task name is [task], in their order. */
    fun trace(task: String): List<String> = taskEvents.filter { it.split(' ')[1].substringBefore('#') == task }

    fun controllersEndedByThemselves(): List<String> = nodes.filter { controllers.getValue(it).hasEndedByItself }

    fun errorLines(): List<String> = controllers.values.flatMap { it.errorLines() }

    override suspend fun sendRequest(
        label: String,
        method: String,
        path: String,
        body: ByteArray,
        limitMs: Long,
    ): HttpResponse? = when (val reply = clients.getValue(label).call(method, path, body, limitMs)) {
        is Reply.Answer -> HttpResponse(reply.status, reply.body)
        is Reply.None -> null
    }

    private fun startPeerLink(from: String, to: String) {
        val link = HoldableLink(loop, ports.peerLink(from, to), HostPort(LOOPBACK, ports.peers(to))) {
            from in nodesWithoutPeers || to in nodesWithoutPeers
        }
        scope.launch { link.serve(scope) }
    }

    private fun storeLink(node: String): Transport {
        val link = state.link(node)
        return Transport { method, target, body, timeoutMs ->
            while (node in nodesWithoutStore) delay(HOLD_CHECK_MS)
            val reply = link.call(method, target, body, timeoutMs)
            while (node in nodesWithoutStore) delay(HOLD_CHECK_MS)
            reply
        }
    }

    private fun serve(port: Int, transport: Transport) {
        val server = HttpServer(loop, MAX_SERVICE_CONNECTIONS, MAX_SERVICE_BODY_BYTES) { request ->
            when (
                val reply = transport.call(
                    request.method,
                    request.path + request.query,
                    request.body,
                    SERVICE_TIMEOUT_MS,
                )
            ) {
                is Reply.Answer -> HttpResponse(reply.status, reply.body)
                is Reply.None -> HttpResponse(UNKNOWN_OUTCOME_STATUS, ByteArray(0))
            }
        }
        val listener = server.bind(HostPort(LOOPBACK, port)).also(listeners::add)
        scope.launch { server.serve(this, listener) }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val NANOS_PER_MS = 1_000_000
        const val CORES_PER_MACHINE = 8.0

        /** Team red may use this part of the machines that are up at the start. */
        const val RED_SHARE_DIVISOR = 3
        const val MAX_IDLE_CONNECTIONS = 256
        const val MAX_SERVICE_CONNECTIONS = 1_000
        const val MAX_SERVICE_BODY_BYTES = 262_144
        const val HOLD_CHECK_MS = 50L

        /** Longer than any client waits, so that a client sees no answer when the outcome is unknown. */
        const val SERVICE_TIMEOUT_MS = 60_000L
        const val UNKNOWN_OUTCOME_STATUS = 500
    }
}
