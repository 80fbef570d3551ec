package io.otterknot.load

import io.otterknot.config.TeamSettings
import io.otterknot.http.HttpResponse
import io.otterknot.http.HttpServer
import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
import io.otterknot.testing.FakeKeyValueStore
import io.otterknot.wire.ListedMachine
import io.otterknot.wire.ListedMachineState
import io.otterknot.wire.MAX_BODY_BYTES
import io.otterknot.wire.MachineList
import io.otterknot.wire.MachineType
import io.otterknot.wire.MachineTypes
import io.otterknot.wire.WireJson
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random

/**
 * A site on loopback. The state service and the cloud are simulated in this process; each controller runs in a process
 * of its own.
 */
class LoopbackSite(
    private val scope: CoroutineScope,
    private val loop: EventLoop,
    private val portBase: Int,
    /** The zones of the site; one controller runs in each. */
    val zones: List<String>,
    private val machinesPerZone: Int,
    private val teams: List<TeamSettings>,
    private val writesPerS: Double = 50.0,
) {
    private val startedNs = System.nanoTime()

    /** Returns the milliseconds since the site was created. */
    val nowMs = { (System.nanoTime() - startedNs) / 1_000_000 }
    private val keyValueStore = FakeKeyValueStore(scope, Random(1), nowMs)
    val labels = zones.indices.map { "holt-$it" }

    /** The zone of each machine, by machine name. */
    val machines: Map<String, String> = zones.flatMapIndexed { index, zone ->
        List(machinesPerZone) { "m-%06d".format(index * machinesPerZone + it) to zone }
    }.toMap()

    fun address(label: String) = HostPort("127.0.0.1", portBase + labels.indexOf(label) * PORTS_PER_CONTROLLER)

    private fun peerAddress(label: String) = "127.0.0.1:${address(label).port + 1}"

    private val statePort = portBase + STATE_PORT_OFFSET
    private val cloudPort = portBase + CLOUD_PORT_OFFSET

    /** Starts the state service and the cloud. */
    suspend fun startServices() {
        serve(statePort, keyValueStore.link("all"))
        serve(cloudPort, ::cloud)
    }

    private suspend fun serve(port: Int, transport: Transport) {
        val server = HttpServer(loop, 4_000, MAX_BODY_BYTES * 4) { request ->
            when (val reply = transport.call(request.method, request.path + request.query, request.body, 60_000)) {
                is Reply.Answer -> HttpResponse(reply.status, reply.body)
                is Reply.None -> HttpResponse(503, ByteArray(0))
            }
        }
        val listener = server.bind(HostPort("127.0.0.1", port))
        scope.launch { server.serve(this, listener) }
    }

    /** Answers requests to the cloud: all machines exist from the start, and requests for more are refused. */
    private suspend fun cloud(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        val responseBody = when {
            target == "/flavors" -> WireJson.encodeToString(MachineTypes.serializer(), MachineTypes(listOf(TYPE)))
            target.startsWith("/machines/release") -> "{}"
            method == "GET" && "After" !in target -> machineList()
            method == "GET" -> """{"Holts":[],"More":false}"""
            else -> return Reply.Answer(503, """{"error":"no capacity"}""".encodeToByteArray())
        }
        return Reply.Answer(200, responseBody.encodeToByteArray())
    }

    private fun machineList(): String {
        val listed = machines.entries.take(MACHINES_PER_PAGE).map { (name, zone) ->
            ListedMachine(name, null, TYPE.name, zone, false, ListedMachineState.RUNNING, nowMs() / 1000.0)
        }
        return WireJson.encodeToString(MachineList.serializer(), MachineList(listed))
    }

    /**
     * Starts the controller [label] with the command in `deploy/service.toml`, the additional JVM [options] and, if not
     * null, the operator settings file [operators]. The controller's standard error is appended to [log]; if that is
     * null, it goes to the standard error of this process.
     */
    fun startController(
        label: String,
        options: List<String> = emptyList(),
        operators: Path? = null,
        log: File? = null,
    ): Process {
        val settingsFile = Files.createTempFile("loopback", ".toml")
        Files.writeString(settingsFile, settings(label))
        val builder = ProcessBuilder(ControllerCommand.of(settingsFile, options, operators)).inheritIO()
        if (log != null) builder.redirectError(ProcessBuilder.Redirect.appendTo(log))
        return builder.start()
    }

    private fun settings(label: String) = """
label = "$label"
domain = "${zones[labels.indexOf(label)]}"
bind = "127.0.0.1:${address(label).port}"
peer_listen = "${peerAddress(label)}"
${labels.filter { it != label }.joinToString("") { memberSettings(it) }}
[endpoints]
cloud = "127.0.0.1:$cloudPort"
state = "127.0.0.1:$statePort"

[facts]
nodes = ${labels.size}
zones = [${zones.joinToString { "\"$it\"" }}]
clock_error_ms = 250.0
${teams.joinToString("") { teamSettings(it) }}
[[facts.objectives]]
kind = "wait"
class = "k"
within_s = 8.0
share = 0.93

[facts.workers]
report_s = 0.8
lease_s = 10.0
gang_wait_s = 45.0
gang_peer_s = 4.0
cancel_s = 35.0

[facts.state]
rps = ${writesPerS * 3}
write_rps = $writesPerS
value_kb = 8.0
txn_ops = 40

[facts.cloud]
rps = 3.0
list_lag_s = 4.0

[facts.machine_limits]
core_share = 1.0
mem_mb = 147.0
fd_limit = 2000
"""

    private fun memberSettings(label: String) = """
[[members]]
label = "$label"
domain = "${zones[labels.indexOf(label)]}"
endpoint = "${peerAddress(label)}"
"""

    private fun teamSettings(team: TeamSettings) = """
[[facts.teams]]
name = "${team.name}"
cpus = ${team.cpus}
cpus_max = ${team.cpusMax}
gpus = 0.0
gpus_max = 0.0
"""

    companion object {
        /** The port for workers and users, and after it the port for the other controllers. */
        private const val PORTS_PER_CONTROLLER = 2
        private const val STATE_PORT_OFFSET = 20
        private const val CLOUD_PORT_OFFSET = 21

        /** The cloud lists at most this many machines; all further pages of the list are empty. */
        private const val MACHINES_PER_PAGE = 500

        val TYPE = MachineType("big", 16.0, 0.0, 128.0, 20.0, 1.0, 1.0, 0.4, 3.0, listOf("a", "b", "c"))
    }
}
