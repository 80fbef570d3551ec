package io.otterknot.load

import io.otterknot.config.TeamSettings
import io.otterknot.http.HttpClient
import io.otterknot.net.EventLoop
import io.otterknot.testing.smallJob
import io.otterknot.testing.submissionBody
import io.otterknot.wire.JobSpec
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readText
import kotlin.random.Random

/**
 * One controller process on loopback with a state service, a cloud, workers and users of this process. It says what a
 * report costs the controller, by thread, and how much memory it takes. Not a test: figures depend on the machine.
 *
 *     LoopbackLoad MACHINES SECONDS [--operators FILE] [JVM OPTION...]
 */
object LoopbackLoad {
    private const val WARM_UP_S = 20L
    private const val PORT_BASE = 18_080
    private const val JOB_EVERY_MS = 500L
    private const val TASKS_A_JOB = 16
    private const val TASK_RUN_MS = 15_000L
    private const val IMAGES = 8

    /** What is told of the process, as the kernel names it. */
    private val SHOWN = listOf("VmHWM", "VmRSS", "VmData", "Threads")

    @JvmStatic
    fun main(args: Array<String>) {
        val machines = args[0].toInt()
        val seconds = args[1].toLong()
        val operators = if (args.getOrNull(2) == "--operators") Path.of(args[3]) else null
        val options = args.drop(if (operators == null) 2 else 4)
        val loop = EventLoop()
        loop.run {
            CostRun(this, loop, machines).play(seconds, options, operators)
            System.exit(0)
        }
    }

    private class CostRun(private val scope: CoroutineScope, private val loop: EventLoop, private val machines: Int) :
        TaskObserver {
        private val site = LoopbackSite(scope, loop, PORT_BASE, listOf("a"), machines, listOf(TeamSettings("red")))
        private val specs = HashMap<String, JobSpec>()
        private val random = Random(1)
        private var answered = 0
        private var refused = 0
        private var started = 0
        private var polled = 0

        override fun spec(job: String): JobSpec? = specs[job]

        override fun runMs(task: String): Long = TASK_RUN_MS / 2 + random.nextLong(TASK_RUN_MS)

        override fun started(task: String) {
            started++
        }

        override fun reported(answered: Boolean) {
            if (answered) this.answered++ else refused++
        }

        suspend fun play(seconds: Long, options: List<String>, operators: Path?) {
            site.listen()
            val process = site.startController(site.labels.single(), options, operators)
            try {
                delay(2_000)
                site.machines.keys.forEach { name ->
                    scope.launch { LoopbackWorker(loop, site, name, this@CostRun).run() }
                }
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

        private suspend fun submitJobs() {
            val client = HttpClient(loop, site.address(site.labels.single()), maxIdle = 8)
            var number = 0
            while (true) {
                delay(JOB_EVERY_MS * 100 / machines)
                val image = "i-${++number % IMAGES}"
                val spec = smallJob("j-%06d".format(number), TASKS_A_JOB).copy(cores = 4.0, image = image)
                specs[spec.id] = spec
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
    }
}
