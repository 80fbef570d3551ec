package io.otterknot.testing

import io.otterknot.http.HttpResponse
import io.otterknot.wire.CommandOperation
import io.otterknot.wire.ExitCause
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.HeartbeatResponse
import io.otterknot.wire.LeaderRedirect
import io.otterknot.wire.TaskState
import io.otterknot.wire.TaskStatus
import io.otterknot.wire.WireJson
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** One attempt of a task that runs on a machine. */
class SimulatedTask(val job: String, val attempt: Long)

/** The worker of one machine: it sends reports, keeps its lease, and executes the commands in the answers. */
class SimulatedWorker(
    private val cluster: WorkerEnvironment,
    override val id: String,
    override val zone: String,
    override val spot: Boolean,
) : ObservedMachine {
    private class Task(
        val job: String,
        val attempt: Long,
        var state: TaskState,
        var cause: ExitCause?,
        var phaseEndsMs: Long,
    ) {
        val isTerminal: Boolean get() = state == TaskState.EXITED
    }

    private val nowMs = cluster.nowMs
    private val random = cluster.random
    private val checks = cluster.checks
    val bootedMs = nowMs()
    private var epoch = 1L
    private var seq = 0L
    private var token = 0L
    private var leaseRenewedMs = bootedMs
    private var node = cluster.nodes.random(random)

    /** By `TASK#ATTEMPT`. */
    private val tasks = LinkedHashMap<String, Task>()
    var hungUntilMs = 0L

    /** Whether every task that it is sent fails. */
    var failsTasks = false

    /** Whether answers and commands to this worker are lost while its reports arrive. */
    var inboundBlocked = false

    /** Whether its reports are lost. */
    var outboundBlocked = false

    /** Nodes that this worker alone cannot reach: its reports to them are held back until the node is removed. */
    val unreachableNodes = HashSet<String>()

    override val isHealthy: Boolean
        get() = nowMs() > hungUntilMs &&
            !inboundBlocked &&
            !outboundBlocked &&
            !failsTasks &&
            unreachableNodes.isEmpty() &&
            nowMs() - bootedMs > 10_000

    override val freeCores: Double get() = CORES -
        tasks.values.filterNot { it.isTerminal }.sumOf { checks.spec(it.job).cores }

    private val loop = cluster.scope.launch {
        delay(1_000 + random.nextLong(4_000))
        leaseRenewedMs = nowMs()
        while (true) reportOnce()
    }

    fun hang(ms: Long) {
        hungUntilMs = nowMs() + ms
    }

    fun terminate() {
        tasks.keys.forEach { trace(it, "ends with its machine") }
        tasks.clear()
        loop.cancel()
    }

    override fun runningTasks(): Map<String, SimulatedTask> {
        expire()
        return tasks.filterValues { it.state == TaskState.RUNNING }.entries
            .associate { (key, task) -> name(key) to SimulatedTask(task.job, task.attempt) }
    }

    override fun isRunning(task: String): Boolean {
        expire()
        return tasks.any { (key, value) ->
            value.state == TaskState.RUNNING && key.startsWith(task) && name(key) == task
        }
    }

    override fun activeTasks(): Set<String> {
        expire()
        return tasks.filterValues { !it.isTerminal }.keys.mapTo(HashSet(), ::name)
    }

    private fun trace(key: String, event: String) = cluster.taskEvent(this, key, event)

    private fun name(key: String) = key.substringBeforeLast('#')

    /** Ends all tasks if the lease has expired; this also applies while the machine hangs. */
    private fun expire() {
        if (nowMs() - leaseRenewedMs <= LEASE_S * 1000) return
        tasks.keys.forEach { trace(it, "killed by the lease") }
        tasks.clear()
        epoch++
        leaseRenewedMs = nowMs()
    }

    private fun advance() {
        if (nowMs() < hungUntilMs) return
        expire()
        for ((key, task) in tasks) {
            if (nowMs() > task.phaseEndsMs) advance(name(key), task)
        }
    }

    private fun advance(name: String, task: Task) {
        val spec = checks.spec(task.job)
        if (task.state == TaskState.FETCHING) {
            trace("$name#${task.attempt}", "starts")
            checks.onTaskStart(this, name, spec)
            task.state = TaskState.RUNNING
            task.phaseEndsMs = nowMs() + ((cluster.taskRunS[name] ?: spec.estimateS) * 1000).toLong()
        } else if (task.state == TaskState.RUNNING) {
            task.state = TaskState.EXITED
            task.cause = ExitCause.DONE
            trace("$name#${task.attempt}", "completes")
            if (checks.onTaskCompleted(name, spec)) cluster.jobCompleted(spec)
        }
    }

    private suspend fun reportOnce() {
        delay(500 + random.nextLong(600))
        if (nowMs() < hungUntilMs) return
        advance()
        val statuses = tasks.entries.map { (key, task) ->
            TaskStatus(name(key), task.attempt, task.state, task.cause)
        }
        val report = Heartbeat(id, "x", "big", zone, spot, epoch, ++seq, token, null, statuses)
        val sent = nowMs()
        val body = WireJson.encodeToString(Heartbeat.serializer(), report).encodeToByteArray()
        checks.onMessage("report of $id with ${statuses.size} tasks", body.size)
        val response = send(body)
        if (response != null) checks.onMessage("response to $id", response.body.size)
        if (nowMs() < hungUntilMs) delay(hungUntilMs - nowMs())
        // An answer that arrives after the timeout is dropped, also if the machine hung meanwhile.
        if (response?.status == 200 && nowMs() - sent <= REPORT_TIMEOUT_MS) {
            applyResponse(response, report, sent)
        } else {
            selectNextNode(response)
        }
    }

    /** Sends a report; returns the answer, or null if none arrives. */
    private suspend fun send(body: ByteArray): HttpResponse? {
        val to = node
        if (random.nextDouble() < cluster.duplicateReportShare) sendDuplicate(to, body)
        return when {
            isHeldBack(to) -> {
                // The report is delivered once the connection is restored; the worker does not receive its answer.
                cluster.scope.launch {
                    while (isHeldBack(to)) delay(100)
                    report(to, body)
                }
                delay(REPORT_TIMEOUT_MS)
                null
            }

            outboundBlocked -> {
                delay(REPORT_TIMEOUT_MS)
                null
            }

            inboundBlocked || random.nextDouble() < cluster.lostReportAnswerShare -> {
                report(to, body)
                delay(random.nextLong(REPORT_TIMEOUT_MS))
                null
            }

            else -> {
                val response = report(to, body)
                if (cluster.maxAnswerDelayMs > 0) delay(random.nextLong(cluster.maxAnswerDelayMs))
                response
            }
        }
    }

    private fun isHeldBack(to: String) = to in unreachableNodes || cluster.isHeldBack(zone, to)

    private fun sendDuplicate(to: String, body: ByteArray) = cluster.scope.launch {
        delay(1_000 + random.nextLong((LEASE_S * 2_500).toLong()))
        report(if (random.nextBoolean()) to else cluster.nodes.random(random), body)
    }

    private suspend fun report(to: String, body: ByteArray) =
        cluster.sendRequest(to, "POST", "/v1/report", body, REPORT_TIMEOUT_MS)

    private fun applyResponse(response: HttpResponse, report: Heartbeat, sent: Long) {
        advance()
        if (report.epoch != epoch) return
        val commands = WireJson.decodeFromString(HeartbeatResponse.serializer(), response.body.decodeToString())
        if (commands.fencingToken < token) return
        token = commands.fencingToken
        leaseRenewedMs = sent
        commands.commands.forEach(::execute)
    }

    /** Switches to the node that the answer redirects to, or else to the next node. */
    private suspend fun selectNextNode(response: HttpResponse?) {
        val other = response?.takeIf { it.status == 421 }
            ?.let { WireJson.decodeFromString(LeaderRedirect.serializer(), it.body.decodeToString()).leader }
        if (other == null || other == node) delay(1_000)
        val nodes = cluster.nodes
        node = other?.takeIf { it != node } ?: nodes[(nodes.indexOf(node) + 1) % nodes.size]
    }

    private fun execute(command: HeartbeatCommand) {
        val key = "${command.task}#${command.attempt}"
        val task = tasks[key]
        when (command.op) {
            CommandOperation.START -> if (task == null) {
                trace(key, "is sent under token $token")
                tasks[key] = start(command)
            }

            CommandOperation.HALT -> if (task != null && !task.isTerminal) {
                trace(key, "is halted under token $token")
                task.state = TaskState.EXITED
                task.cause = ExitCause.STOPPED
            }

            CommandOperation.FORGET -> if (task?.isTerminal == true) tasks.remove(key)
        }
    }

    private fun start(command: HeartbeatCommand): Task {
        val job = command.task.substringBefore('/')
        val cause = when {
            tasks.any { name(it.key) == command.task && !it.value.isTerminal } -> ExitCause.BUSY
            checks.spec(job).cores > freeCores -> ExitCause.NO_ROOM
            failsTasks -> ExitCause.ERROR
            else -> null
        }
        val state = if (cause == null) TaskState.FETCHING else TaskState.EXITED
        return Task(job, command.attempt, state, cause, nowMs() + FETCH_MS)
    }

    private companion object {
        const val CORES = 8.0
        const val REPORT_TIMEOUT_MS = 4_000L
        const val FETCH_MS = 500L
    }
}
