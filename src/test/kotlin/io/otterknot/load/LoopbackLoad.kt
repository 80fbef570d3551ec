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
 * Runs one controller process on loopback against a state service, a cloud, workers and users that are simulated in
 * this process. Prints the processor time of the controller, by thread and per heartbeat, and its memory. This is not a
 * test: the figures depend on the machine.
 *
 *     LoopbackLoad MACHINES SECONDS [--operators FILE] [JVM OPTION...]
 */
object LoopbackLoad {
    private const val WARM_UP_S = 20L
    private const val PORT_BASE = 18_080

    /** Interval between submissions with 100 machines; it is inversely proportional to the number of machines. */
    private const val JOB_INTERVAL_MS = 500L
    private const val TASKS_PER_JOB = 16
    private const val MEAN_TASK_RUN_MS = 15_000L
    private const val IMAGE_COUNT = 8

    /** The fields of `/proc/PID/status` that are printed. */
    private val STATUS_FIELDS = listOf("VmHWM", "VmRSS", "VmData", "Threads")

    @JvmStatic
    fun main(args: Array<String>) {
        val machines = args[0].toInt()
        val seconds = args[1].toLong()
        val operators = if (args.getOrNull(2) == "--operators") Path.of(args[3]) else null
        val options = args.drop(if (operators == null) 2 else 4)
        val loop = EventLoop()
        loop.run {
            CostMeasurement(this, loop, machines).run(seconds, options, operators)
            System.exit(0)
        }
    }

    private class CostMeasurement(
        private val scope: CoroutineScope,
        private val loop: EventLoop,
        private val machines: Int,
    ) : Workload {
        private val site = LoopbackSite(scope, loop, PORT_BASE, listOf("a"), machines, listOf(TeamSettings("red")))
        private val specs = HashMap<String, JobSpec>()
        private val random = Random(1)
        private var answered = 0
        private var unanswered = 0
        private var taskStarts = 0
        private var statusQueries = 0

        override fun jobSpec(job: String): JobSpec? = specs[job]

        override fun runMs(task: String): Long = MEAN_TASK_RUN_MS / 2 + random.nextLong(MEAN_TASK_RUN_MS)

        override fun taskStarted(task: String) {
            taskStarts++
        }

        override fun heartbeatSent(answered: Boolean) {
            if (answered) this.answered++ else unanswered++
        }

        suspend fun run(seconds: Long, options: List<String>, operators: Path?) {
            site.startServices()
            val process = site.startController(site.labels.single(), options, operators)
            try {
                delay(2_000)
                site.machines.keys.forEach { name ->
                    scope.launch { LoopbackWorker(loop, site, name, this@CostMeasurement).run() }
                }
                scope.launch { submitJobs() }
                delay(WARM_UP_S * 1000)
                println("warm-up of $WARM_UP_S s: processor time ${threadTicks(process.pid()).values.sum() * 10} ms")
                val ticksBefore = threadTicks(process.pid())
                val countsBefore = listOf(answered, unanswered, taskStarts, statusQueries)
                delay(seconds * 1000)
                printCosts(process, ticksBefore, countsBefore, seconds)
            } finally {
                process.destroyForcibly()
            }
        }

        private fun printCosts(
            process: Process,
            ticksBefore: Map<String, Long>,
            countsBefore: List<Int>,
            seconds: Long,
        ) {
            val ticksAfter = threadTicks(process.pid())
            val heartbeats = answered - countsBefore[0]
            println("in $seconds s: $heartbeats heartbeats answered, ${unanswered - countsBefore[1]} unanswered")
            println("${taskStarts - countsBefore[2]} task starts, ${statusQueries - countsBefore[3]} status queries")
            val usedMs = ticksAfter.mapValues { (it.value - (ticksBefore[it.key] ?: 0)) * 10 }
            val msPerHeartbeat = usedMs.values.sum().toDouble() / heartbeats
            println("processor time: ${usedMs.values.sum()} ms, ${"%.3f".format(msPerHeartbeat)} ms/heartbeat")
            usedMs.entries.sortedByDescending { it.value }.take(12).forEach { println("  ${it.key}: ${it.value} ms") }
            val status = Path.of("/proc/${process.pid()}/status").readText().lines()
            println(status.filter { line -> STATUS_FIELDS.any(line::startsWith) })
        }

        /**
         * Returns the processor time of the process by thread name, in ticks of 10 ms. Threads of the same name are
         * added up. Fields 11 and 12 (from 0) after the thread name are the time in user mode and in the kernel.
         */
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
                delay(JOB_INTERVAL_MS * 100 / machines)
                val image = "i-${++number % IMAGE_COUNT}"
                val spec = smallJob("j-%06d".format(number), TASKS_PER_JOB).copy(cores = 4.0, image = image)
                specs[spec.id] = spec
                scope.launch {
                    client.call("POST", "/submissions", submissionBody(spec), 5_000)
                    repeat(6) {
                        delay(5_000)
                        client.call("GET", "/submissions/${spec.id}", null, 2_000)
                        statusQueries++
                    }
                }
            }
        }
    }
}
