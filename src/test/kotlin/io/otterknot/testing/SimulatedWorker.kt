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

/** A task that is on a machine in some attempt. */
class SimulatedTask(val job: String, val attempt: Long)

/** The worker of one machine: it reports, keeps its lease, and carries out what answers say. */
class SimulatedWorker(private val cluster: SimulatedCluster, val id: String, val zone: String, val spot: Boolean) {
    private class Task(
        val job: String,
        val attempt: Long,
        var state: TaskState,
        var cause: ExitCause?,
        var doneMs: Long,
    ) {
        val isOver: Boolean get() = state == TaskState.EXITED
    }

    private val nowMs = cluster.nowMs
    private val random = cluster.random
    private val rules = cluster.rules
    val bornMs = nowMs()
    private var session = 1L
    private var seq = 0L
    private var token = 0L
    private var answeredMs = bornMs
    private var node = cluster.nodes.random(random)

    /** By task and attempt. */
    private val tasks = LinkedHashMap<String, Task>()
    var hungUntilMs = 0L
    var faulty = false

    /** Its reports arrive, but no answer or command comes back. */
    var unreached = false

    /** It reaches no controller. */
    var mute = false

    /** It does what it is there for: what waits may count on it. */
    val sound: Boolean get() = nowMs() > hungUntilMs && !unreached && !mute && !faulty && nowMs() - bornMs > 10_000

    val freeCores: Double get() = CORES - tasks.values.filterNot { it.isOver }.sumOf { rules.spec(it.job).cores }

    private val loop = cluster.scope.launch {
        delay(1_000 + random.nextLong(4_000))
        answeredMs = nowMs()
        while (true) turn()
    }

    fun hang(ms: Long) {
        hungUntilMs = nowMs() + ms
    }

    fun end() {
        tasks.clear()
        loop.cancel()
    }

    /** Tasks that are on this machine: they have their image and have not exited. */
    fun holding(): Map<String, SimulatedTask> {
        expire()
        return tasks.filterValues { it.state == TaskState.RUNNING }.entries
            .associate { (key, task) -> name(key) to SimulatedTask(task.job, task.attempt) }
    }

    /** Tasks that it has not ended, with their image or without. */
    fun shown(): Set<String> {
        expire()
        return tasks.filterValues { !it.isOver }.keys.mapTo(HashSet(), ::name)
    }

    private fun name(key: String) = key.substringBeforeLast('#')

    /** The lease runs out on a hanging machine too. */
    private fun expire() {
        if (nowMs() - answeredMs <= LEASE_S * 1000) return
        tasks.clear()
        session++
        answeredMs = nowMs()
    }

    private fun advance() {
        if (nowMs() < hungUntilMs) return
        expire()
        for ((key, task) in tasks) {
            if (nowMs() > task.doneMs) advance(name(key), task)
        }
    }

    private fun advance(name: String, task: Task) {
        val spec = rules.spec(task.job)
        if (task.state == TaskState.FETCHING) {
            rules.starting(this, name, spec)
            task.state = TaskState.RUNNING
            task.doneMs = nowMs() + ((cluster.runS[name] ?: spec.estimateS) * 1000).toLong()
        } else if (task.state == TaskState.RUNNING) {
            task.state = TaskState.EXITED
            task.cause = ExitCause.DONE
            if (rules.completed(name, spec)) cluster.onLastEnd(spec)
        }
    }

    private suspend fun turn() {
        delay(500 + random.nextLong(600))
        if (nowMs() < hungUntilMs) return
        advance()
        val shown = tasks.entries.map { (key, task) -> TaskStatus(name(key), task.attempt, task.state, task.cause) }
        val report = Heartbeat(id, "x", "big", zone, spot, session, ++seq, token, null, shown)
        val sent = nowMs()
        val response = send(WireJson.encodeToString(Heartbeat.serializer(), report).encodeToByteArray())
        if (nowMs() < hungUntilMs) delay(hungUntilMs - nowMs())
        // Whatever comes later than this is dropped, also by a machine that hung meanwhile.
        if (response?.status == 200 && nowMs() - sent <= ANSWER_MS) {
            take(response, report, sent)
        } else {
            goOn(response)
        }
    }

    /** The answer that comes back, if one does. */
    private suspend fun send(body: ByteArray): HttpResponse? {
        val to = node
        if (random.nextDouble() < cluster.copies) sendCopy(to, body)
        return when {
            cluster.isHeld(zone, to) -> {
                // Packets are held back and come in once the cut is over; nobody waits for the answer then.
                cluster.scope.launch {
                    while (cluster.isHeld(zone, to)) delay(100)
                    report(to, body)
                }
                delay(ANSWER_MS)
                null
            }

            mute -> {
                delay(ANSWER_MS)
                null
            }

            unreached || random.nextDouble() < cluster.lostAnswers -> {
                report(to, body)
                delay(random.nextLong(ANSWER_MS))
                null
            }

            else -> {
                val response = report(to, body)
                if (cluster.answerMs > 0) delay(random.nextLong(cluster.answerMs))
                response
            }
        }
    }

    private fun sendCopy(to: String, body: ByteArray) = cluster.scope.launch {
        delay(1_000 + random.nextLong((LEASE_S * 2_500).toLong()))
        report(if (random.nextBoolean()) to else cluster.nodes.random(random), body)
    }

    private suspend fun report(to: String, body: ByteArray) = cluster.ask(to, "POST", "/v1/report", body, ANSWER_MS)

    private fun take(response: HttpResponse, report: Heartbeat, sent: Long) {
        advance()
        if (report.epoch != session) return
        val commands = WireJson.decodeFromString(HeartbeatResponse.serializer(), response.body.decodeToString())
        if (commands.fencingToken < token) return
        token = commands.fencingToken
        answeredMs = sent
        commands.commands.forEach(::execute)
    }

    /** Turns to the node that it is sent to, or to the next. */
    private suspend fun goOn(response: HttpResponse?) {
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
            CommandOperation.START -> if (task == null) tasks[key] = start(command)

            CommandOperation.HALT -> if (task != null && !task.isOver) {
                task.state = TaskState.EXITED
                task.cause = ExitCause.STOPPED
            }

            CommandOperation.FORGET -> if (task?.isOver == true) tasks.remove(key)
        }
    }

    private fun start(command: HeartbeatCommand): Task {
        val job = command.task.substringBefore('/')
        val cause = when {
            tasks.any { name(it.key) == command.task && !it.value.isOver } -> ExitCause.BUSY
            rules.spec(job).cores > freeCores -> ExitCause.NO_ROOM
            faulty -> ExitCause.ERROR
            else -> null
        }
        val state = if (cause == null) TaskState.FETCHING else TaskState.EXITED
        return Task(job, command.attempt, state, cause, nowMs() + FETCH_MS)
    }

    private companion object {
        const val CORES = 8.0
        const val ANSWER_MS = 4_000L
        const val FETCH_MS = 500L
    }
}
