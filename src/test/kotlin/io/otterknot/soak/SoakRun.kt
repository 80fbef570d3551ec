package io.otterknot.soak

import io.otterknot.net.EventLoop
import io.otterknot.testing.CANCEL_S
import io.otterknot.testing.MAX_NESTED_LEVELS
import io.otterknot.testing.nested
import io.otterknot.testing.submissionBody
import io.otterknot.testing.submissionBodyWith
import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.nio.file.Files
import kotlin.random.Random

/** What a soak run saw. It has passed if [problems] is empty. */
class SoakResult(
    val seed: Long,
    val problems: List<String>,
    val jobs: Int,
    val activity: SoakActivity,
    val faults: List<String>,
) {
    override fun toString() = "seed $seed: jobs $jobs $activity problems ${problems.size}"
}

/**
 * One soak run: users submit, query and cancel jobs while faults overlap; then every job has to end. What is drawn from
 * the seed is the same in each run; the timing of the processes is not.
 */
class SoakRun(private val scope: CoroutineScope, loop: EventLoop, private val options: SoakOptions) {
    private val cluster = SoakCluster(scope, loop, options)
    private val checks = cluster.checks
    private val jobRandom = Random(options.seed * SEED_FACTOR + 1)
    private val hostileClients =
        HostileClients(loop, Random(options.seed * SEED_FACTOR + HOSTILE_SEED), cluster.controllerPorts())
    private val faults = ArrayList<String>()
    private val problems = LinkedHashSet<String>()
    private var leaderChanges = 0

    suspend fun run(): SoakResult {
        cluster.start()
        val observer = scope.launch { observe() }
        try {
            delay(WARM_UP_MS)
            val untilMs = cluster.nowMs() + options.faultSeconds * MS_PER_S
            val submission = scope.launch { submitJobs() }
            val hostility = scope.launch { hostileClients.run() }
            coroutineScope { repeat(FAULT_LANES) { lane -> launch { injectFaults(lane, untilMs) } } }
            submission.cancel()
            hostility.cancel()
            cluster.nodes.forEach(cluster::startNode)
            checks.faultsClearedMs = cluster.nowMs()
            awaitEnd(observer)
        } finally {
            cluster.stop()
        }
        return result()
    }

    /** Checks the rules and counts changes of leader until cancelled. */
    private suspend fun observe() {
        var leaders = cluster.leaderRecords()
        while (true) {
            delay(OBSERVATION_MS)
            checks.inspect()
            val shown = cluster.leaderRecords()
            leaderChanges += shown.count { (zone, record) -> leaders[zone] != null && leaders[zone] != record }
            leaders = leaders + shown
            cluster.controllersEndedByThemselves().forEach { problems.add("controller $it ended by itself") }
            cluster.users.pollUnknownJob("j-%06d".format(UNKNOWN_JOBS + cluster.random.nextInt(1_000)))
        }
    }

    private suspend fun submitJobs() {
        cluster.users.requestBursts = true
        for (number in 1..MAX_JOBS) {
            val cancelAfterMs = if (jobRandom.nextInt(4) == 0) jobRandom.nextLong(MAX_CANCEL_DELAY_MS) else null
            val drawn = drawJob(number)
            val job = if (number % SMALL_TASKS_INTERVAL == FIRST_SMALL_TASKS) withManySmallTasks(drawn) else drawn
            val body = if (number % NESTED_JOB_INTERVAL == 0) nestedSubmissionBody(job) else submissionBody(job)
            cluster.users.startUser(job, cancelAfterMs, body)
            delay(jobRandom.nextLong(2 * MEAN_JOB_INTERVAL_MS))
        }
    }

    /** A valid submission of [job] with an unknown field of the deepest nesting that the limit on its size allows. */
    private fun nestedSubmissionBody(job: JobSpec): ByteArray =
        submissionBodyWith(job, "\"Extra\":${nested(MAX_NESTED_LEVELS)}")

    private fun drawJob(number: Int): JobSpec {
        val isUrgent = jobRandom.nextInt(3) != 0
        return JobSpec(
            id = "j-%06d".format(number),
            jobClass = if (isUrgent) "urgent" else "bulk",
            team = if (jobRandom.nextBoolean()) "red" else "blue",
            priority = if (isUrgent) Priority.HIGH else Priority.BEST_EFFORT,
            tasks = jobRandom.nextInt(1, MAX_TASKS),
            cores = jobRandom.nextInt(1, 3).toDouble(),
            memoryGb = 4.0,
            image = "img-${jobRandom.nextInt(3)}",
            imageGb = 0.5,
            spot = jobRandom.nextInt(4) != 0,
            estimateS = 1.0 + jobRandom.nextInt(MAX_RUN_S),
            spreadAcrossZones = number % 11 == 0,
            sameZone = number % 7 == 0,
            zone = cluster.zones.random(jobRandom).takeIf { jobRandom.nextInt(5) == 0 },
        )
    }

    /** [job] with more small tasks than the machines of its only zone may report at a time. */
    private fun withManySmallTasks(job: JobSpec): JobSpec = job.copy(
        team = "blue",
        tasks = SMALL_TASKS,
        cores = SMALL_TASK_CORES,
        memoryGb = SMALL_TASK_CORES,
        spot = true,
        estimateS = SMALL_TASK_RUN_S,
        spreadAcrossZones = false,
        sameZone = false,
        zone = cluster.zones.first(),
    )

    private suspend fun injectFaults(lane: Int, untilMs: Long) {
        val random = Random(options.seed * SEED_FACTOR + 2 + lane)
        delay(random.nextLong(MAX_FAULT_GAP_MS))
        while (cluster.nowMs() < untilMs) {
            val fault = SoakFault.draw(random, options.faultName)
            val startedMs = cluster.nowMs()
            fault.inject(cluster, random)
            faults.add("$startedMs to ${cluster.nowMs()} ${fault.name}")
            delay(random.nextLong(MAX_FAULT_GAP_MS))
        }
    }

    /** Waits until all jobs have ended and the tasks of cancelled jobs must be gone. */
    private suspend fun awaitEnd(observer: Job) {
        val untilMs = cluster.nowMs() + MAX_END_MS
        while (!checks.allTerminal() && cluster.nowMs() < untilMs) delay(OBSERVATION_MS)
        problems.addAll(checks.nonTerminalJobs().map { "$it did not end within ${MAX_END_MS / MS_PER_S} s" })
        delay((checks.faultsClearedMs + (CANCEL_S * MS_PER_S).toLong() - cluster.nowMs()).coerceAtLeast(0))
        observer.cancel()
    }

    private fun result(): SoakResult {
        problems.addAll(checks.violations)
        problems.addAll(hostileClients.violations)
        problems.addAll(cluster.errorLines().map { "error line: $it" })
        val cancellations = checks.specs.keys.count(checks::isCancelled)
        val activity =
            SoakActivity(checks.starts, cancellations, leaderChanges, faults.size, hostileClients.refusals)
        problems.addAll(activity.problems())
        val result = SoakResult(options.seed, problems.toList(), checks.specs.size, activity, faults)
        write(result)
        return result
    }

    private fun write(result: SoakResult) {
        val tasks = result.problems.flatMap { TASK_NAME.findAll(it).map(MatchResult::value) }.distinct()
        val lines = listOf("$result", "", "problems") + result.problems + listOf("", "faults, ms") + faults +
            tasks.flatMap { listOf("", "events of $it, ms") + cluster.trace(it) }
        Files.write(options.directory.resolve("result.txt"), lines)
    }

    private companion object {
        const val MS_PER_S = 1_000L
        const val SEED_FACTOR = 1_000L

        /** Apart from the seeds of the jobs and of the faults. */
        const val HOSTILE_SEED = 500

        /** Every job of this number has an unknown field that nests. */
        const val NESTED_JOB_INTERVAL = 5

        /** Every job of this number, beginning with [FIRST_SMALL_TASKS], has [SMALL_TASKS] small tasks. */
        const val SMALL_TASKS_INTERVAL = 25
        const val FIRST_SMALL_TASKS = 10
        const val SMALL_TASKS = 3_000
        const val SMALL_TASK_CORES = 0.002
        const val SMALL_TASK_RUN_S = 2.0
        const val WARM_UP_MS = 6_000L
        const val OBSERVATION_MS = 250L
        const val FAULT_LANES = 3
        const val MAX_FAULT_GAP_MS = 3_000L
        const val MEAN_JOB_INTERVAL_MS = 600L
        const val MAX_CANCEL_DELAY_MS = 12_000L
        const val MAX_JOBS = 10_000
        const val MAX_TASKS = 7
        const val MAX_RUN_S = 30
        const val MAX_END_MS = 180_000L

        /** Job numbers from here on are never submitted. */
        const val UNKNOWN_JOBS = 900_000
        val TASK_NAME = Regex("""j-\d{6}/\d+""")
    }
}
