package io.otterknot.load

import io.otterknot.http.HttpClient
import io.otterknot.http.Reply
import io.otterknot.net.EventLoop
import io.otterknot.wire.CommandOperation
import io.otterknot.wire.ExitCause
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.HeartbeatResponse
import io.otterknot.wire.JobSpec
import io.otterknot.wire.LeaderRedirect
import io.otterknot.wire.TaskState
import io.otterknot.wire.TaskStatus
import io.otterknot.wire.WireJson
import kotlinx.coroutines.delay
import java.util.TreeMap
import kotlin.random.Random

/** Provides workers with the jobs and the run times of tasks, and is notified of what happens on the workers. */
interface Workload {
    /** Returns the specification of [job], or null if it was not submitted. */
    fun jobSpec(job: String): JobSpec?

    /** Returns how long [task] is to run. */
    fun runMs(task: String): Long

    fun taskStarted(task: String) {}

    fun taskCompleted(task: String) {}

    /** Called when [task] was stopped after it had run for [ranMs]. */
    fun taskStopped(task: String, ranMs: Long) {}

    /** Called when a worker begins to fetch an image. */
    fun imageFetchStarted() {}

    /** Called after each heartbeat; [answered]: whether the worker received a response with status 200 in time. */
    fun heartbeatSent(answered: Boolean) {}
}

/** The simulated worker of one machine: it sends heartbeats over loopback, fetches images and runs tasks. */
class LoopbackWorker(
    private val loop: EventLoop,
    private val site: LoopbackSite,
    private val id: String,
    private val workload: Workload,
) {
    private class Task(
        val attempt: Long,
        var state: TaskState,
        var cause: ExitCause?,
        /** When the fetch or the run ends. */
        var stateEndsMs: Long,
        var startedMs: Long,
    )

    private val zone = site.machines.getValue(id)
    private val clients = site.labels.associateWith { HttpClient(loop, site.address(it), maxIdle = 1) }
    private val tasks = TreeMap<String, Task>()
    private val fetchedImages = HashSet<String>()
    private val random = Random(id.hashCode())
    private var controller = site.labels.random(random)
    private var epoch = 1L
    private var sequence = 0L
    private var fencingToken = 0L

    /** When the last answered heartbeat was sent; the lease counts from then. */
    private var leaseRenewedMs = site.nowMs()

    /** Until this time the worker is frozen: it sends no heartbeats, drops responses and advances no tasks. */
    var frozenUntilMs = 0L

    suspend fun run() {
        delay(random.nextLong(HEARTBEAT_INTERVAL_MS))
        leaseRenewedMs = site.nowMs()
        while (true) {
            if (site.nowMs() < frozenUntilMs) delay(frozenUntilMs - site.nowMs())
            enforceLease()
            sendHeartbeat()
            awaitNextHeartbeat()
        }
    }

    /** Stops all tasks and begins a new epoch if the lease has expired. */
    private fun enforceLease() {
        if (site.nowMs() - leaseRenewedMs <= LEASE_MS) return
        tasks.forEach { (name, task) ->
            if (task.state == TaskState.RUNNING) {
                workload.taskStopped(name, site.nowMs() - task.startedMs)
            }
        }
        tasks.clear()
        epoch++
        leaseRenewedMs = site.nowMs()
    }

    private suspend fun sendHeartbeat() {
        val statuses = tasks.map { (name, task) -> TaskStatus(name, task.attempt, task.state, task.cause) }
        val type = LoopbackSite.TYPE.name
        val heartbeat = Heartbeat(id, "127.0.0.1:9", type, zone, false, epoch, ++sequence, fencingToken, null, statuses)
        val body = WireJson.encodeToString(Heartbeat.serializer(), heartbeat).encodeToByteArray()
        val sentMs = site.nowMs()
        val reply = clients.getValue(controller).call("POST", "/v1/report", body, HEARTBEAT_TIMEOUT_MS)
        val answered = reply is Reply.Answer && reply.status == 200 && site.nowMs() >= frozenUntilMs
        workload.heartbeatSent(answered)
        if (answered) applyResponse(reply as Reply.Answer, sentMs) else switchController(reply)
    }

    private fun applyResponse(reply: Reply.Answer, sentMs: Long) {
        val response = WireJson.decodeFromString(HeartbeatResponse.serializer(), reply.text)
        if (response.fencingToken < fencingToken) return
        fencingToken = response.fencingToken
        leaseRenewedMs = sentMs
        response.commands.forEach(::execute)
    }

    /** Switches to the controller that [reply] redirects to, or else to the next one, and then waits 1 s. */
    private suspend fun switchController(reply: Reply) {
        val redirected = (reply as? Reply.Answer)?.takeIf { it.status == 421 }
            ?.let { WireJson.decodeFromString(LeaderRedirect.serializer(), it.text).leader }
        if (redirected != null && redirected != controller && redirected in clients) {
            controller = redirected
            return
        }
        controller = site.labels[(site.labels.indexOf(controller) + 1) % site.labels.size]
        delay(1_000)
    }

    /** Waits until the next heartbeat is due, or until a task has changed its state but at least [MIN_PAUSE_MS]. */
    private suspend fun awaitNextHeartbeat() {
        val dueMs = site.nowMs() + HEARTBEAT_INTERVAL_MS * 3 / 4 + random.nextLong(HEARTBEAT_INTERVAL_MS / 2)
        delay(MIN_PAUSE_MS)
        while (site.nowMs() < dueMs) {
            if (advanceTasks()) return
            delay(20)
        }
    }

    /** Ends the fetches and runs that are due. Returns whether there were any. */
    private fun advanceTasks(): Boolean {
        val now = site.nowMs()
        if (now < frozenUntilMs) return false
        val due = tasks.filterValues {
            it.state in listOf(TaskState.FETCHING, TaskState.RUNNING) && now >= it.stateEndsMs
        }
        for ((name, task) in due) if (task.state == TaskState.FETCHING) begin(name, task, now) else complete(name, task)
        return due.isNotEmpty()
    }

    private fun begin(name: String, task: Task, now: Long) {
        workload.jobSpec(jobOf(name))?.let { fetchedImages.add(it.image) }
        workload.taskStarted(name)
        task.state = TaskState.RUNNING
        task.startedMs = now
        task.stateEndsMs = now + workload.runMs(name)
    }

    private fun complete(name: String, task: Task) {
        task.state = TaskState.EXITED
        task.cause = ExitCause.DONE
        workload.taskCompleted(name)
    }

    private fun execute(command: HeartbeatCommand) {
        val task = tasks[command.task]
        when (command.op) {
            CommandOperation.START -> if (task == null || isExitedInOtherAttempt(task, command)) start(command)
            CommandOperation.HALT -> if (task != null && isActiveAttempt(task, command)) halt(command.task, task)
            CommandOperation.FORGET -> if (task?.attempt == command.attempt) tasks.remove(command.task)
        }
    }

    private fun isExitedInOtherAttempt(task: Task, command: HeartbeatCommand) =
        task.state == TaskState.EXITED && task.attempt != command.attempt

    private fun isActiveAttempt(task: Task, command: HeartbeatCommand) =
        task.state != TaskState.EXITED && task.attempt == command.attempt

    private fun halt(name: String, task: Task) {
        if (task.state == TaskState.RUNNING) workload.taskStopped(name, site.nowMs() - task.startedMs)
        task.state = TaskState.EXITED
        task.cause = ExitCause.STOPPED
    }

    private fun start(command: HeartbeatCommand) {
        val spec = workload.jobSpec(jobOf(command.task)) ?: return
        val active = tasks.filterValues { it.state != TaskState.EXITED }.keys
        val used = active.sumOf { workload.jobSpec(jobOf(it))?.cores ?: 0.0 }
        val task = if (used + spec.cores > LoopbackSite.TYPE.cores) {
            Task(command.attempt, TaskState.EXITED, ExitCause.NO_ROOM, 0, 0)
        } else {
            Task(command.attempt, TaskState.FETCHING, null, site.nowMs() + fetchMs(spec), 0)
        }
        tasks[command.task] = task
    }

    private fun fetchMs(spec: JobSpec): Long {
        if (spec.image in fetchedImages) return 0
        workload.imageFetchStarted()
        return (spec.imageGb / LoopbackSite.TYPE.fetchGbPerS * 1000).toLong()
    }

    private fun jobOf(task: String) = task.substringBefore('/')

    private companion object {
        const val HEARTBEAT_INTERVAL_MS = 800L
        const val MIN_PAUSE_MS = 500L
        const val HEARTBEAT_TIMEOUT_MS = 4_000L
        const val LEASE_MS = 10_000L
    }
}
