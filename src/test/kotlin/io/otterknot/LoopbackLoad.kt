package io.otterknot

import io.otterknot.config.HostPort
import io.otterknot.http.HttpClient
import io.otterknot.http.HttpResponse
import io.otterknot.http.HttpServer
import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.net.EventLoop
import io.otterknot.wire.Command
import io.otterknot.wire.Commands
import io.otterknot.wire.ListedMachine
import io.otterknot.wire.MAX_BODY_BYTES
import io.otterknot.wire.MachineList
import io.otterknot.wire.MachineType
import io.otterknot.wire.MachineTypes
import io.otterknot.wire.Report
import io.otterknot.wire.TaskReport
import io.otterknot.wire.WireJson
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.nio.file.Files
import java.nio.file.Path
import java.util.TreeMap
import kotlin.io.path.isDirectory
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.random.Random

/**
 * One controller process on loopback with a state service, a cloud, workers and users of this process. It says what a
 * report costs the controller, by thread, and how much memory it takes. Not a test: figures depend on the machine.
 *
 *     LoopbackLoad MACHINES SECONDS [JVM OPTION...]
 */
object LoopbackLoad {
    private const val REPORT_MS = 800L
    private const val WARM_UP_S = 20L
    private const val ZONE = "a"
    private const val CONTROLLER_PORT = 18_080
    private const val STATE_PORT = 18_081
    private const val CLOUD_PORT = 18_082
    private const val JOB_EVERY_MS = 500L
    private const val TASKS_A_JOB = 16
    private const val TASK_RUN_MS = 15_000L

    /** A page of the cloud's list. */
    private const val LISTED = 500
    private const val IMAGES = 8

    /** What is told of the process, as the kernel names it. */
    private val SHOWN = listOf("VmHWM", "VmRSS", "VmData", "Threads")

    @JvmStatic
    fun main(args: Array<String>) {
        val machines = args[0].toInt()
        val seconds = args[1].toLong()
        val loop = EventLoop()
        loop.run {
            LoopbackLoad(this, loop, machines).play(seconds, args.drop(2))
            System.exit(0)
        }
    }

    private class LoopbackLoad(
        private val scope: CoroutineScope,
        private val loop: EventLoop,
        private val machines: Int,
    ) {
        private val startedNs = System.nanoTime()
        private val nowMs = { (System.nanoTime() - startedNs) / 1_000_000 }
        private val state = StateStandIn(scope, Random(1), nowMs)
        private var answered = 0
        private var refused = 0
        private var started = 0
        private var polled = 0

        suspend fun play(seconds: Long, options: List<String>) {
            val link = state.link("holt-0")
            listen(STATE_PORT, link)
            listen(CLOUD_PORT, ::cloud)
            val process = startController(options)
            try {
                repeat(machines) { number -> scope.launch { Worker(name(number)).run() } }
                scope.launch { submitJobs() }
                delay(WARM_UP_S * 1000)
                println("after $WARM_UP_S s: ${threadTicks(process.pid()).values.sum() * 10} ms of processor time")
                val before = threadTicks(process.pid())
                val counts = listOf(answered, refused, started, polled)
                delay(seconds * 1000)
                tell(process, before, counts, seconds)
            } finally {
                process.destroyForcibly()
            }
        }

        private fun tell(process: Process, before: Map<String, Long>, counts: List<Int>, seconds: Long) {
            val after = threadTicks(process.pid())
            val reports = answered - counts[0]
            println("in $seconds s $reports reports answered, ${refused - counts[1]} not")
            println("${started - counts[2]} starts, ${polled - counts[3]} polls")
            val used = after.mapValues { (it.value - (before[it.key] ?: 0)) * 10 }
            val perReport = used.values.sum().toDouble() / reports
            println("processor ms: ${used.values.sum()}, ${"%.3f".format(perReport)} a report")
            used.entries.sortedByDescending { it.value }.take(12).forEach { println("  ${it.key}: ${it.value} ms") }
            val status = Path.of("/proc/${process.pid()}/status").readText().lines()
            println(status.filter { line -> SHOWN.any(line::startsWith) })
        }

        /** Ticks (10 ms) by name of thread. */
        private fun threadTicks(pid: Long): Map<String, Long> {
            val ticks = HashMap<String, Long>()
            for (task in Path.of("/proc/$pid/task").listDirectoryEntries()) {
                val text = runCatching { task.resolve("stat").readText() }.getOrNull() ?: continue
                val fields = text.substringAfterLast(") ").split(' ')
                val name = text.substringAfter('(').substringBeforeLast(')')
                ticks.merge(name, fields[11].toLong() + fields[12].toLong(), Long::plus)
            }
            return ticks
        }

        private suspend fun listen(port: Int, transport: Transport) {
            val server = HttpServer(loop, 4_000, MAX_BODY_BYTES * 4) { request ->
                when (val reply = transport.call(request.method, request.path + request.query, request.body, 60_000)) {
                    is Reply.Answer -> HttpResponse(reply.status, reply.body)
                    is Reply.None -> HttpResponse(503, ByteArray(0))
                }
            }
            val listener = server.bind(HostPort("127.0.0.1", port))
            scope.launch { server.serve(this, listener) }
        }

        private suspend fun cloud(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
            val type = MachineType("big", 16.0, 0.0, 128.0, 20.0, 1.0, 1.0, 0.4, 3.0, listOf(ZONE))
            val text = when {
                target == "/flavors" -> WireJson.encodeToString(MachineTypes.serializer(), MachineTypes(listOf(type)))
                target.startsWith("/machines/release") -> "{}"
                method == "GET" && "After" !in target -> listOfMachines()
                method == "GET" -> """{"Holts":[],"More":false}"""
                else -> return Reply.Answer(503, """{"error":"no capacity"}""".encodeToByteArray())
            }
            return Reply.Answer(200, text.encodeToByteArray())
        }

        private fun listOfMachines(): String {
            val listed = (0 until minOf(machines, LISTED)).map {
                ListedMachine(name(it), null, "big", ZONE, false, "running", nowMs() / 1000.0)
            }
            return WireJson.encodeToString(MachineList.serializer(), MachineList(listed))
        }

        private fun name(number: Int) = "m-%06d".format(number)

        private fun startController(options: List<String>): Process {
            val file = Files.createTempFile("loopback", ".toml")
            Files.writeString(file, settings())
            val command = Files.readAllLines(Path.of("deploy/service.toml")).first { it.startsWith("run = ") }
                .substringAfter('"').substringBeforeLast('"').split(' ')
            val program = command.indexOf("-jar")
            val arguments = command.take(program) + options + command.drop(program) + file.toString()
            return ProcessBuilder(arguments).inheritIO().start()
        }

        private fun settings() = """
label = "holt-0"
domain = "a"
bind = "127.0.0.1:$CONTROLLER_PORT"
peer_listen = "127.0.0.1:18083"

[endpoints]
cloud = "127.0.0.1:$CLOUD_PORT"
state = "127.0.0.1:$STATE_PORT"

[facts]
nodes = 1
zones = ["a"]
clock_error_ms = 250.0

[[facts.teams]]
name = "red"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

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
rps = 150.0
write_rps = 50.0
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

        private suspend fun submitJobs() {
            val client = HttpClient(loop, HostPort("127.0.0.1", CONTROLLER_PORT), keep = 8)
            var number = 0
            while (true) {
                delay(JOB_EVERY_MS * 100 / machines)
                val image = "i-${++number % IMAGES}"
                val spec = smallJob("j-%06d".format(number), TASKS_A_JOB).copy(cores = 4.0, image = image)
                scope.launch {
                    client.call("POST", "/submissions", submissionBody(spec), 5_000)
                    repeat(6) {
                        delay(5_000)
                        client.call("GET", "/submissions/${spec.id}", null, 2_000)
                        polled++
                    }
                }
            }
        }

        private inner class Worker(val id: String) {
            private val client = HttpClient(loop, HostPort("127.0.0.1", CONTROLLER_PORT), keep = 1)
            private val tasks = TreeMap<String, TaskReport>()
            private val ends = HashMap<String, Long>()
            private var token = 0L
            private var seq = 0L
            private val random = Random(id.hashCode())

            suspend fun run() {
                delay(2_000 + random.nextLong(REPORT_MS))
                while (true) {
                    val shown = tasks.values.toList()
                    val report = Report(id, "127.0.0.1:9", "big", ZONE, false, 1, ++seq, token, null, shown)
                    val body = WireJson.encodeToString(Report.serializer(), report).encodeToByteArray()
                    val reply = client.call("POST", "/v1/report", body, 4_000)
                    if (reply is Reply.Answer && reply.status == 200) {
                        answered++
                        val commands = WireJson.decodeFromString(Commands.serializer(), reply.text)
                        token = commands.token
                        commands.commands.forEach(::carryOut)
                    } else {
                        refused++
                    }
                    pause()
                }
            }

            private suspend fun pause() {
                val until = nowMs() + REPORT_MS * 3 / 4 + random.nextLong(REPORT_MS / 2)
                delay(500)
                while (nowMs() < until) {
                    if (advance()) return
                    delay(20)
                }
            }

            private fun advance(): Boolean {
                val ended = ends.filterValues { nowMs() >= it }.keys
                for (name in ended) {
                    tasks[name] = tasks.getValue(name).copy(state = "exited", cause = "done")
                    ends.remove(name)
                }
                return ended.isNotEmpty()
            }

            private fun carryOut(command: Command) {
                when (command.op) {
                    "start" -> if (command.task !in tasks) {
                        started++
                        tasks[command.task] = TaskReport(command.task, command.attempt, "running")
                        ends[command.task] = nowMs() + TASK_RUN_MS / 2 + random.nextLong(TASK_RUN_MS)
                    }

                    "halt" -> tasks[command.task]?.let {
                        ends.remove(command.task)
                        tasks[command.task] = it.copy(state = "exited", cause = "stopped")
                    }

                    else -> tasks.remove(command.task)
                }
            }
        }
    }
}
