package io.otterknot.load

import io.otterknot.config.TeamSettings
import io.otterknot.http.HttpClient
import io.otterknot.http.Reply
import io.otterknot.net.EventLoop
import io.otterknot.testing.smallJob
import io.otterknot.testing.submissionBody
import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.HdrHistogram.Histogram
import org.HdrHistogram.HistogramLogWriter
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random

/**
 * Measures a surge of one team on loopback. Three controller processes serve simulated workers and the users of three
 * teams. One team submits a thousand high-priority jobs of one task each simultaneously; during this surge a
 * controller is killed and restarted, and a worker is frozen. Writes how long tasks waited, from the first attempt to
 * submit their job to their start, as an HdrHistogram interval log by team and phase; [SurgeTable] prints such logs as
 * a table. This is not a test: the figures depend on the machine.
 *
 *     SurgeLoad SEED OPERATORS-FILE LOG-DIRECTORY PORT-BASE [WRITES-PER-SECOND]
 */
object SurgeLoad {
    @JvmStatic
    fun main(args: Array<String>) {
        val loop = EventLoop()
        loop.run {
            val surge = Surge(
                scope = this,
                loop = loop,
                seed = args[0].toLong(),
                operators = Path.of(args[1]),
                directory = Files.createDirectories(Path.of(args[2])),
                portBase = args[3].toInt(),
                writesPerS = args.getOrNull(4)?.toDouble() ?: 180.0,
            )
            surge.run()
            System.exit(0)
        }
    }

    /** The jobs that the users of [team] submit apart from the surge. [meanIntervalMs] and [meanRunS] are averages. */
    private class BaseLoad(
        val team: String,
        val priority: Priority,
        val meanIntervalMs: Long,
        val tasksPerJob: Int,
        val meanRunS: Double,
    )

    /** The phases of a run. Their names are part of the histogram tags, by which [SurgeTable] finds the histograms. */
    private enum class SurgePhase(val lengthMs: Long) { WARM_UP(15_000), BEFORE(20_000), DURING(70_000), AFTER(25_000) }

    private val BASE_LOADS = listOf(
        BaseLoad("red", Priority.HIGH, meanIntervalMs = 2_500, tasksPerJob = 4, meanRunS = 6.0),
        BaseLoad("blue", Priority.HIGH, meanIntervalMs = 4_000, tasksPerJob = 4, meanRunS = 6.0),
        BaseLoad("green", Priority.NORMAL, meanIntervalMs = 4_000, tasksPerJob = 4, meanRunS = 6.0),
    )
    private const val CORES_PER_TASK = 4.0
    private const val GUARANTEED_CORES_PER_TEAM = 96.0
    private const val MACHINES_PER_ZONE = 8
    private const val SURGE_JOBS = 1_000
    private const val SURGE_MEAN_RUN_S = 6.0

    /** From the start of the surge until a controller is killed. */
    private const val KILL_AFTER_MS = 15_000L

    /** From then until the controller is restarted. */
    private const val RESTART_DELAY_MS = 4_000L

    /** From the start of the surge until a worker is frozen. */
    private const val FREEZE_AFTER_MS = 22_000L
    private const val FREEZE_DURATION_MS = 6_000L

    /** Longer times are recorded as this. */
    private const val MAX_RECORDED_MS = 600_000L

    private class Surge(
        private val scope: CoroutineScope,
        private val loop: EventLoop,
        seed: Long,
        private val operators: Path,
        private val directory: Path,
        portBase: Int,
        writesPerS: Double,
    ) : Workload {
        private val random = Random(seed)
        private val site = LoopbackSite(
            scope,
            loop,
            portBase,
            listOf("a", "b", "c"),
            MACHINES_PER_ZONE,
            BASE_LOADS.map { TeamSettings(it.team, cpus = GUARANTEED_CORES_PER_TEAM) },
            writesPerS,
        )
        private val specs = HashMap<String, JobSpec>()
        private val submittedMs = HashMap<String, Long>()
        private val submissionPhases = HashMap<String, SurgePhase>()
        private val startedTasks = HashSet<String>()
        private val completedTasks = HashSet<String>()
        private val waitTimes = HashMap<Pair<String, SurgePhase>, Histogram>()
        private val acceptanceTimes = HashMap<Pair<String, SurgePhase>, Histogram>()
        private val processes = HashMap<String, Process>()
        private var phase = SurgePhase.WARM_UP
        private var taskStops = 0
        private var lostRunMs = 0L
        private var imageFetches = 0
        private var jobCount = 0

        override fun jobSpec(job: String): JobSpec? = specs[job]

        /** Returns a run time drawn from the task's name, so that runs with the same seed have the same tasks. */
        override fun runMs(task: String): Long {
            val estimateMs = (specs.getValue(task.substringBefore('/')).estimateS * 1000).toLong()
            return estimateMs / 2 + Random(task.hashCode()).nextLong(estimateMs)
        }

        override fun taskStarted(task: String) {
            if (!startedTasks.add(task)) return
            val job = task.substringBefore('/')
            record(
                waitTimes,
                specs.getValue(job).team,
                submissionPhases.getValue(job),
                site.nowMs() - submittedMs.getValue(job),
            )
        }

        override fun taskCompleted(task: String) {
            completedTasks.add(task)
        }

        override fun taskStopped(task: String, ranMs: Long) {
            taskStops++
            lostRunMs += ranMs
        }

        override fun imageFetchStarted() {
            imageFetches++
        }

        private fun record(
            histograms: HashMap<Pair<String, SurgePhase>, Histogram>,
            team: String,
            submittedIn: SurgePhase,
            ms: Long,
        ) {
            val histogram = histograms.getOrPut(team to submittedIn) {
                Histogram(MAX_RECORDED_MS, 3).apply { tag = "$team-$submittedIn" }
            }
            histogram.recordValue(ms.coerceIn(0, MAX_RECORDED_MS))
        }

        suspend fun run() {
            site.startServices()
            site.labels.forEach(::startController)
            try {
                delay(3_000)
                val workers = site.machines.keys.map { LoopbackWorker(loop, site, it, this) }
                workers.forEach { scope.launch { it.run() } }
                BASE_LOADS.forEach { scope.launch { submitBaseLoad(it) } }
                for (nextPhase in SurgePhase.entries) {
                    phase = nextPhase
                    if (nextPhase == SurgePhase.DURING) scope.launch { surge(workers) }
                    delay(nextPhase.lengthMs)
                }
            } finally {
                processes.values.forEach { it.destroyForcibly().waitFor() }
            }
            writeResults()
        }

        private fun startController(label: String) {
            val log = File(directory.toFile(), "$label.log")
            processes[label] = site.startController(label, operators = operators, log = log)
        }

        private suspend fun surge(workers: List<LoopbackWorker>) {
            repeat(SURGE_JOBS) { submit("red", Priority.HIGH, 1, SURGE_MEAN_RUN_S) }
            delay(KILL_AFTER_MS)
            val killed = site.labels.random(random)
            processes.getValue(killed).destroyForcibly()
            delay(RESTART_DELAY_MS)
            startController(killed)
            delay(FREEZE_AFTER_MS - KILL_AFTER_MS - RESTART_DELAY_MS)
            workers.random(random).frozenUntilMs = site.nowMs() + FREEZE_DURATION_MS
        }

        private suspend fun submitBaseLoad(load: BaseLoad) {
            while (true) {
                delay(load.meanIntervalMs / 2 + random.nextLong(load.meanIntervalMs))
                submit(load.team, load.priority, load.tasksPerJob, load.meanRunS)
            }
        }

        private fun submit(team: String, priority: Priority, tasks: Int, meanRunS: Double) {
            val spec = smallJob("j-%06d".format(++jobCount), tasks).copy(
                jobClass = "k", team = team, priority = priority, cores = CORES_PER_TASK, memoryGb = 8.0,
                image = "img-$team", imageGb = 1.0, estimateS = meanRunS, spot = true,
            )
            specs[spec.id] = spec
            submissionPhases[spec.id] = phase
            submittedMs[spec.id] = site.nowMs()
            scope.launch { submitUntilAccepted(spec) }
        }

        private suspend fun submitUntilAccepted(spec: JobSpec) {
            while (true) {
                val client = HttpClient(loop, site.address(site.labels.random(random)), maxIdle = 0)
                val reply = client.call("POST", "/submissions", submissionBody(spec), 5_000)
                if (reply is Reply.Answer && reply.status in 200..201) break
                delay(1_000)
            }
            val tookMs = site.nowMs() - submittedMs.getValue(spec.id)
            record(acceptanceTimes, spec.team, submissionPhases.getValue(spec.id), tookMs)
        }

        private fun writeResults() {
            writeHistograms(
                "waits.hlog",
                "from the first attempt to submit to the start of each task, in ms",
                waitTimes.values,
            )
            writeHistograms(
                "accepts.hlog",
                "from the first attempt to submit to its acceptance, in ms",
                acceptanceTimes.values,
            )
            val tasks = specs.values.sumOf { it.tasks }
            val startedShares = BASE_LOADS.joinToString(" ") { "${it.team} ${"%.2f".format(startedShare(it.team))}" }
            Files.writeString(
                directory.resolve("counts.txt"),
                "tasks $tasks started ${startedTasks.size} completed ${completedTasks.size} stops $taskStops " +
                    "lost-s ${lostRunMs / 1000} fetches $imageFetches begun-of-surge $startedShares\n",
            )
        }

        /** Returns the share of the team's tasks submitted during the surge that started before the end of the run. */
        private fun startedShare(team: String): Double {
            val during = specs.values.filter { it.team == team && submissionPhases[it.id] == SurgePhase.DURING }
            val started = during.sumOf { spec -> (0 until spec.tasks).count { "${spec.id}/$it" in startedTasks } }
            return started.toDouble() / during.sumOf { it.tasks }
        }

        private fun writeHistograms(file: String, comment: String, histograms: Collection<Histogram>) {
            val writer = HistogramLogWriter(directory.resolve(file).toFile())
            writer.outputLogFormatVersion()
            writer.outputComment(comment)
            writer.outputLegend()
            histograms.forEach(writer::outputIntervalHistogram)
            writer.close()
        }
    }
}
