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

/** What happens to tasks on workers. */
interface TaskObserver {
    /** The job that a task belongs to; null: nobody has submitted it. */
    fun spec(job: String): JobSpec?

    /** How long [task] runs. */
    fun runMs(task: String): Long

    fun started(task: String) {}

    fun completed(task: String) {}

    /** [task] was stopped when it had run for [ranMs]. */
    fun stopped(task: String, ranMs: Long) {}

    fun fetched() {}

    /** A report was answered, or not. */
    fun reported(answered: Boolean) {}
}

/** The worker of one machine on loopback: it reports to the controllers, fetches images and runs tasks. */
class LoopbackWorker(
    private val loop: EventLoop,
    private val site: LoopbackSite,
    private val id: String,
    private val observer: TaskObserver,
) {
    private class Task(
        val attempt: Long,
        var state: TaskState,
        var cause: ExitCause?,
        var changesMs: Long,
        var sinceMs: Long,
    )

    private val zone = site.machines.getValue(id)
    private val clients = site.labels.associateWith { HttpClient(loop, site.address(it), maxIdle = 1) }
    private val tasks = TreeMap<String, Task>()
    private val images = HashSet<String>()
    private val random = Random(id.hashCode())
    private var node = site.labels.random(random)
    private var session = 1L
    private var seq = 0L
    private var token = 0L
    private var answeredMs = site.nowMs()

    /** Until when it does nothing at all. */
    var frozenUntilMs = 0L

    suspend fun run() {
        delay(random.nextLong(REPORT_MS))
        answeredMs = site.nowMs()
        while (true) {
            if (site.nowMs() < frozenUntilMs) delay(frozenUntilMs - site.nowMs())
            endLease()
            report()
            pause()
        }
    }

    private fun endLease() {
        if (site.nowMs() - answeredMs <= LEASE_MS) return
        tasks.forEach { (name, task) ->
            if (task.state ==
                TaskState.RUNNING
            ) {
                observer.stopped(name, site.nowMs() - task.sinceMs)
            }
        }
        tasks.clear()
        session++
        answeredMs = site.nowMs()
    }

    private suspend fun report() {
        val shown = tasks.map { (name, task) -> TaskStatus(name, task.attempt, task.state, task.cause) }
        val type = LoopbackSite.TYPE.name
        val report = Heartbeat(id, "127.0.0.1:9", type, zone, false, session, ++seq, token, null, shown)
        val body = WireJson.encodeToString(Heartbeat.serializer(), report).encodeToByteArray()
        val sent = site.nowMs()
        val reply = clients.getValue(node).call("POST", "/v1/report", body, ANSWER_MS)
        val answered = reply is Reply.Answer && reply.status == 200 && site.nowMs() >= frozenUntilMs
        observer.reported(answered)
        if (answered) take(reply as Reply.Answer, sent) else goOn(reply)
    }

    private fun take(reply: Reply.Answer, sent: Long) {
        val commands = WireJson.decodeFromString(HeartbeatResponse.serializer(), reply.text)
        if (commands.fencingToken < token) return
        token = commands.fencingToken
        answeredMs = sent
        commands.commands.forEach(::carryOut)
    }

    private suspend fun goOn(reply: Reply) {
        val redirected = (reply as? Reply.Answer)?.takeIf { it.status == 421 }
            ?.let { WireJson.decodeFromString(LeaderRedirect.serializer(), it.text).leader }
        if (redirected != null && redirected != node && redirected in clients) {
            node = redirected
            return
        }
        node = site.labels[(site.labels.indexOf(node) + 1) % site.labels.size]
        delay(1_000)
    }

    /** Reports every so often, and sooner when a task has changed. */
    private suspend fun pause() {
        val until = site.nowMs() + REPORT_MS * 3 / 4 + random.nextLong(REPORT_MS / 2)
        delay(LEAST_PAUSE_MS)
        while (site.nowMs() < until) {
            if (advance()) return
            delay(20)
        }
    }

    private fun advance(): Boolean {
        val now = site.nowMs()
        if (now < frozenUntilMs) return false
        val due = tasks.filterValues {
            it.state in listOf(TaskState.FETCHING, TaskState.RUNNING) && now >= it.changesMs
        }
        for ((name, task) in due) if (task.state == TaskState.FETCHING) begin(name, task, now) else end(name, task)
        return due.isNotEmpty()
    }

    private fun begin(name: String, task: Task, now: Long) {
        observer.spec(jobOf(name))?.let { images.add(it.image) }
        observer.started(name)
        task.state = TaskState.RUNNING
        task.sinceMs = now
        task.changesMs = now + observer.runMs(name)
    }

    private fun end(name: String, task: Task) {
        task.state = TaskState.EXITED
        task.cause = ExitCause.DONE
        observer.completed(name)
    }

    private fun carryOut(command: HeartbeatCommand) {
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
        if (task.state == TaskState.RUNNING) observer.stopped(name, site.nowMs() - task.sinceMs)
        task.state = TaskState.EXITED
        task.cause = ExitCause.STOPPED
    }

    private fun start(command: HeartbeatCommand) {
        val spec = observer.spec(jobOf(command.task)) ?: return
        val active = tasks.filterValues { it.state != TaskState.EXITED }.keys
        val used = active.sumOf { observer.spec(jobOf(it))?.cores ?: 0.0 }
        val task = if (used + spec.cores > LoopbackSite.TYPE.cores) {
            Task(command.attempt, TaskState.EXITED, ExitCause.NO_ROOM, 0, 0)
        } else {
            Task(command.attempt, TaskState.FETCHING, null, site.nowMs() + fetchMs(spec), 0)
        }
        tasks[command.task] = task
    }

    private fun fetchMs(spec: JobSpec): Long {
        if (spec.image in images) return 0
        observer.fetched()
        return (spec.imageGb / LoopbackSite.TYPE.fetchGbPerS * 1000).toLong()
    }

    private fun jobOf(task: String) = task.substringBefore('/')

    private companion object {
        const val REPORT_MS = 800L
        const val LEAST_PAUSE_MS = 500L
        const val ANSWER_MS = 4_000L
        const val LEASE_MS = 10_000L
    }
}
