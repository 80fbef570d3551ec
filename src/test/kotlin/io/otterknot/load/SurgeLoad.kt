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
 * A surge of one team on loopback: three controller processes, workers, users of three teams, one of which submits a
 * thousand urgent one-task jobs at once; meanwhile a controller is killed and a worker frozen. How long each team's tasks
 * waited, from the first attempt to submit to their start, goes to an interval log of HdrHistogram by team and phase;
 * [SurgeTable] prints such logs as a table. Not a test: figures depend on the machine.
 *
 *     SurgeLoad SEED OPERATORS-FILE LOG-DIRECTORY PORT-BASE [CHANGES-PER-SECOND]
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
                changesPerS = args.getOrNull(4)?.toDouble() ?: 180.0,
            )
            surge.play()
            System.exit(0)
        }
    }

    /** A team, and how its users submit when there is no surge. */
    private class Users(val team: String, val priority: Priority, val everyMs: Long, val tasks: Int, val runS: Double)

    private enum class SurgePhase(val lastsMs: Long) { WARM_UP(15_000), BEFORE(20_000), DURING(70_000), AFTER(25_000) }

    private val USERS = listOf(
        Users("red", Priority.HIGH, everyMs = 2_500, tasks = 4, runS = 6.0),
        Users("blue", Priority.HIGH, everyMs = 4_000, tasks = 4, runS = 6.0),
        Users("green", Priority.NORMAL, everyMs = 4_000, tasks = 4, runS = 6.0),
    )
    private const val CORES = 4.0
    private const val GUARANTEED_CORES = 96.0
    private const val MACHINES_PER_ZONE = 8
    private const val SURGE_JOBS = 1_000
    private const val SURGE_RUN_S = 6.0
    private const val KILL_AFTER_MS = 15_000L
    private const val RESTART_MS = 4_000L
    private const val FREEZE_AFTER_MS = 22_000L
    private const val FREEZE_MS = 6_000L
    private const val LONGEST_MS = 600_000L

    private class Surge(
        private val scope: CoroutineScope,
        private val loop: EventLoop,
        seed: Long,
        private val operators: Path,
        private val directory: Path,
        portBase: Int,
        changesPerS: Double,
    ) : TaskObserver {
        private val random = Random(seed)
        private val site = LoopbackSite(
            scope,
            loop,
            portBase,
            listOf("a", "b", "c"),
            MACHINES_PER_ZONE,
            USERS.map { TeamSettings(it.team, cpus = GUARANTEED_CORES) },
            changesPerS,
        )
        private val specs = HashMap<String, JobSpec>()
        private val submittedMs = HashMap<String, Long>()
        private val phaseOf = HashMap<String, SurgePhase>()
        private val startedTasks = HashSet<String>()
        private val completedTasks = HashSet<String>()
        private val waits = HashMap<Pair<String, SurgePhase>, Histogram>()
        private val accepts = HashMap<Pair<String, SurgePhase>, Histogram>()
        private val processes = HashMap<String, Process>()
        private var phase = SurgePhase.WARM_UP
        private var stops = 0
        private var lostMs = 0L
        private var fetches = 0
        private var number = 0

        override fun spec(job: String): JobSpec? = specs[job]

        /** Drawn from the task's name, so that runs with the same seed have the same tasks. */
        override fun runMs(task: String): Long {
            val estimateMs = (specs.getValue(task.substringBefore('/')).estimateS * 1000).toLong()
            return estimateMs / 2 + Random(task.hashCode()).nextLong(estimateMs)
        }

        override fun started(task: String) {
            if (!startedTasks.add(task)) return
            val job = task.substringBefore('/')
            record(waits, specs.getValue(job).team, phaseOf.getValue(job), site.nowMs() - submittedMs.getValue(job))
        }

        override fun completed(task: String) {
            completedTasks.add(task)
        }

        override fun stopped(task: String, ranMs: Long) {
            stops++
            lostMs += ranMs
        }

        override fun fetched() {
            fetches++
        }

        private fun record(into: HashMap<Pair<String, SurgePhase>, Histogram>, team: String, at: SurgePhase, ms: Long) {
            val histogram = into.getOrPut(team to at) { Histogram(LONGEST_MS, 3).apply { tag = "$team-$at" } }
            histogram.recordValue(ms.coerceIn(0, LONGEST_MS))
        }

        suspend fun play() {
            site.listen()
            site.labels.forEach(::start)
            try {
                delay(3_000)
                val workers = site.machines.keys.map { LoopbackWorker(loop, site, it, this) }
                workers.forEach { scope.launch { it.run() } }
                USERS.forEach { scope.launch { submitNowAndThen(it) } }
                for (next in SurgePhase.entries) {
                    phase = next
                    if (next == SurgePhase.DURING) scope.launch { surge(workers) }
                    delay(next.lastsMs)
                }
            } finally {
                processes.values.forEach { it.destroyForcibly().waitFor() }
            }
            tell()
        }

        private fun start(label: String) {
            val log = File(directory.toFile(), "$label.log")
            processes[label] = site.startController(label, operators = operators, log = log)
        }

        private suspend fun surge(workers: List<LoopbackWorker>) {
            repeat(SURGE_JOBS) { submit("red", Priority.HIGH, 1, SURGE_RUN_S) }
            delay(KILL_AFTER_MS)
            val killed = site.labels.random(random)
            processes.getValue(killed).destroyForcibly()
            delay(RESTART_MS)
            start(killed)
            delay(FREEZE_AFTER_MS - KILL_AFTER_MS - RESTART_MS)
            workers.random(random).frozenUntilMs = site.nowMs() + FREEZE_MS
        }

        private suspend fun submitNowAndThen(users: Users) {
            while (true) {
                delay(users.everyMs / 2 + random.nextLong(users.everyMs))
                submit(users.team, users.priority, users.tasks, users.runS)
            }
        }

        private fun submit(team: String, priority: Priority, tasks: Int, runS: Double) {
            val spec = smallJob("j-%06d".format(++number), tasks).copy(
                jobClass = "k", team = team, priority = priority, cores = CORES, memoryGb = 8.0,
                image = "img-$team", imageGb = 1.0, estimateS = runS, spot = true,
            )
            specs[spec.id] = spec
            phaseOf[spec.id] = phase
            submittedMs[spec.id] = site.nowMs()
            scope.launch { untilAccepted(spec) }
        }

        private suspend fun untilAccepted(spec: JobSpec) {
            while (true) {
                val client = HttpClient(loop, site.address(site.labels.random(random)), maxIdle = 0)
                val reply = client.call("POST", "/submissions", submissionBody(spec), 5_000)
                if (reply is Reply.Answer && reply.status in 200..201) break
                delay(1_000)
            }
            val tookMs = site.nowMs() - submittedMs.getValue(spec.id)
            record(accepts, spec.team, phaseOf.getValue(spec.id), tookMs)
        }

        private fun tell() {
            write("waits.hlog", "from the first attempt to submit to the start of each task, in ms", waits.values)
            write("accepts.hlog", "from the first attempt to submit to its acceptance, in ms", accepts.values)
            val tasks = specs.values.sumOf { it.tasks }
            val begun = USERS.joinToString(" ") { "${it.team} ${"%.2f".format(begunShare(it.team))}" }
            Files.writeString(
                directory.resolve("counts.txt"),
                "tasks $tasks started ${startedTasks.size} completed ${completedTasks.size} stops $stops " +
                    "lost-s ${lostMs / 1000} fetches $fetches begun-of-surge $begun\n",
            )
        }

        /** Of a team's tasks submitted during the surge, the share that began before the end of the run. */
        private fun begunShare(team: String): Double {
            val during = specs.values.filter { it.team == team && phaseOf[it.id] == SurgePhase.DURING }
            val begun = during.sumOf { spec -> (0 until spec.tasks).count { "${spec.id}/$it" in startedTasks } }
            return begun.toDouble() / during.sumOf { it.tasks }
        }

        private fun write(file: String, comment: String, histograms: Collection<Histogram>) {
            val writer = HistogramLogWriter(directory.resolve(file).toFile())
            writer.outputLogFormatVersion()
            writer.outputComment(comment)
            writer.outputLegend()
            histograms.forEach(writer::outputIntervalHistogram)
            writer.close()
        }
    }
}
