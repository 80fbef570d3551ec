package io.otterknot.partition

import io.otterknot.jobs.Job
import io.otterknot.records.JobRecord
import io.otterknot.records.TaskSpan
import io.otterknot.records.TerminalState
import io.otterknot.testing.MESSAGE_LIMIT_BYTES
import io.otterknot.testing.applyRecord
import io.otterknot.testing.testPartition
import io.otterknot.testing.unlimitedTeam
import io.otterknot.testing.verboseReport
import io.otterknot.wire.CommandOperation
import io.otterknot.wire.ExitCause
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.HeartbeatResponse
import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import io.otterknot.wire.Priority
import io.otterknot.wire.TaskState
import io.otterknot.wire.TaskStatus
import io.otterknot.wire.WireJson
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.random.Random

/** Random small tasks on workers whose responses are lost, whose leases expire and whose leaders change. */
class MessageLimitPropertyTest {
    /** Guards against any course of events in which a report or a response is longer than 64 KiB, or tasks never run. */
    @Property(tries = 60, seed = "52")
    fun `no report and no response is above the limit, and all tasks complete`(@ForAll seed: Long) {
        val run = MessageLimitRun(Random(seed))
        repeat(FAULTY_ROUNDS) { run.round(hasFaults = true) }
        repeat(CALM_ROUNDS) { run.round(hasFaults = false) }
        assertTrue(run.jobs.all { it.terminalState != null }, "jobs left: ${run.jobs.map { it.id }}")
    }

    private companion object {
        const val FAULTY_ROUNDS = 40
        const val CALM_ROUNDS = 60
    }
}

private val MACHINE_TYPE = MachineType("big", 8.0, 0.0, 64.0)
private const val ROUND_MS = 1_000L

private class MessageLimitRun(private val random: Random) {
    private var token = 1L
    private var now = 1L
    private val workers = MutableList(2) { ModelWorker("m$it", random) }
    private var rentals = 0
    val jobs = List(random.nextInt(1, 4), ::drawJob)
    private var partition = acquire()

    private fun drawJob(number: Int): Job {
        val id = "j-$number" + "0".repeat(random.nextInt(17))
        val tasks = random.nextInt(1, 3_000)
        val cores = listOf(0.0, 0.001, 0.02, 0.3, 1.0).random(random)
        val team = listOf("red", "blue").random(random)
        val spec = JobSpec(
            id, "k", team, Priority.entries.random(random), if (cores < 0.1) tasks else tasks / 100 + 1, cores,
            memoryGb = 0.0, image = "i", imageGb = 1.0, spot = true, estimateS = 5.0,
        )
        return Job(id).also { it.applyRecord(JobRecord(spec, listOf(TaskSpan("a", 0, spec.tasks)))) }
    }

    /** Creates the partition of the next leader. */
    private fun acquire(): Partition {
        token++
        val registered = if (token == 2L) emptyMap() else workers.associate { it.id to MACHINE_TYPE.name }
        val partition = testPartition(
            listOf(unlimitedTeam("red"), unlimitedTeam("blue")),
            fencingToken = token,
            registeredMachines = registered,
        ) { MACHINE_TYPE }
        jobs.filter { it.terminalState == null }.forEach { partition.updateJob(it, inherited = token > 2) }
        return partition
    }

    fun round(hasFaults: Boolean) {
        now += ROUND_MS
        if (hasFaults && random.nextInt(12) == 0) partition = acquire()
        if (hasFaults && random.nextInt(25) == 0) end(jobs.random(random), TerminalState.CANCELLED)
        for (worker in workers) {
            if (hasFaults && random.nextInt(20) == 0) worker.expire()
            worker.advance(exitShare = if (hasFaults) random.nextDouble() else 1.0)
            val report = worker.report()
            val bytes = verboseReport(report).length
            assertTrue(bytes <= MESSAGE_LIMIT_BYTES, "report of $bytes bytes with ${report.tasks.size} tasks")
            val answer = partition.applyHeartbeat(report, now, bytes) as HeartbeatDecision.Answer
            checkResponse(answer)
            if (!hasFaults || random.nextInt(5) > 0) worker.apply(answer)
        }
        partition.fleet.updateRegistered(workers.mapTo(HashSet()) { it.id })
        partition.sweep(now)
        workers.replaceAll(::replaceIfUnusable)
        if (!hasFaults || random.nextInt(3) > 0) jobs.forEach(::recordCompletions)
    }

    /** Releases an empty machine that gets no tasks any more, as the autoscaler does, and rents another. */
    private fun replaceIfUnusable(worker: ModelWorker): ModelWorker {
        val machine = partition.machine(worker.id) ?: return worker
        val isUsable = !machine.quarantined && !machine.losesResponses
        if (isUsable || machine.attempts.isNotEmpty()) return worker
        partition.fleet.machineReleased(worker.id, now)
        return ModelWorker("n${rentals++}", random)
    }

    private fun checkResponse(answer: HeartbeatDecision.Answer) {
        val response = HeartbeatResponse(answer.fencingToken, answer.commands)
        val bytes = WireJson.encodeToString(HeartbeatResponse.serializer(), response).length
        assertTrue(bytes <= MESSAGE_LIMIT_BYTES, "response of $bytes bytes")
    }

    private fun recordCompletions(job: Job) {
        val partitionJob = partition.job(job.id) ?: return
        job.completedTasks.or(partitionJob.unrecordedCompletions)
        partition.applyCompletions(job)
        if (job.completedTasks.cardinality() == partitionJob.spec.tasks) end(job, TerminalState.DONE)
    }

    private fun end(job: Job, state: TerminalState) {
        if (job.terminalState != null) return
        job.applyRecord(JobRecord(terminalState = state, taskCount = 1), version = 2)
        partition.updateJob(job, inherited = false)
    }
}

/** A worker that keeps to PROTOCOL. */
private class ModelWorker(val id: String, private val random: Random) {
    private val tasks = LinkedHashMap<Long, TaskStatus>()
    private var epoch = 1L
    private var sequence = 0L
    private var token = 0L

    fun report() =
        Heartbeat(id, "10.1.0.232:9000", "big", "a", true, epoch, ++sequence, token, null, tasks.values.toList())

    /** The lease has expired: all tasks are killed and forgotten. */
    fun expire() {
        tasks.clear()
        epoch++
    }

    fun advance(exitShare: Double) = tasks.replaceAll { _, status ->
        if (status.state == TaskState.RUNNING &&
            random.nextDouble() < exitShare
        ) {
            exited(status, ExitCause.DONE)
        } else {
            status
        }
    }

    fun apply(answer: HeartbeatDecision.Answer) {
        if (answer.fencingToken < token) return
        token = answer.fencingToken
        answer.commands.forEach(::execute)
    }

    private fun execute(command: HeartbeatCommand) {
        val task = tasks[command.attempt]
        when (command.op) {
            CommandOperation.START -> if (task == null) tasks[command.attempt] = start(command)

            CommandOperation.HALT ->
                if (task != null && task.state != TaskState.EXITED) {
                    tasks[command.attempt] = exited(task, ExitCause.STOPPED)
                }

            CommandOperation.FORGET -> if (task?.state == TaskState.EXITED) tasks.remove(command.attempt)
        }
    }

    private fun start(command: HeartbeatCommand): TaskStatus {
        val status = TaskStatus(command.task, command.attempt, TaskState.RUNNING)
        val isBusy = tasks.values.any { it.task == command.task && it.state != TaskState.EXITED }
        return if (isBusy) exited(status, ExitCause.BUSY) else status
    }

    private fun exited(status: TaskStatus, cause: ExitCause) =
        status.copy(state = TaskState.EXITED, cause = cause, saved = false)
}
