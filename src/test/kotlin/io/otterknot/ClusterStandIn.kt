package io.otterknot

import io.otterknot.config.CloudFacts
import io.otterknot.config.Endpoints
import io.otterknot.config.Facts
import io.otterknot.config.Member
import io.otterknot.config.NextStateFacts
import io.otterknot.config.Objective
import io.otterknot.config.Settings
import io.otterknot.config.StateFacts
import io.otterknot.config.TeamFacts
import io.otterknot.config.WorkerFacts
import io.otterknot.controller.Controller
import io.otterknot.controller.Links
import io.otterknot.http.HttpRequest
import io.otterknot.http.HttpResponse
import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.peer.PeerTransport
import io.otterknot.state.Keys
import io.otterknot.state.PartitionRecord
import io.otterknot.state.decodeRecord
import io.otterknot.wire.Command
import io.otterknot.wire.Commands
import io.otterknot.wire.JobSpec
import io.otterknot.wire.JobStatus
import io.otterknot.wire.ListedMachine
import io.otterknot.wire.MachineList
import io.otterknot.wire.MachineNames
import io.otterknot.wire.MachineType
import io.otterknot.wire.MachineTypes
import io.otterknot.wire.Priority
import io.otterknot.wire.Redirect
import io.otterknot.wire.RentRequest
import io.otterknot.wire.Report
import io.otterknot.wire.TaskReport
import io.otterknot.wire.WireJson
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlin.random.Random

const val LEASE_S = 10.0
const val CANCEL_S = 35.0
private const val FORGOTTEN_MS = 75_000L
private const val BEGIN_MS = 240_000L
private const val STARVED_MS = 90_000L

/** Three controllers, their workers, cloud and state service, on virtual time; it watches every rule as it goes. */
class ClusterStandIn(
    val scope: CoroutineScope,
    seed: Long,
    val nowMs: () -> Long,
    teamLimit: Double = 0.0,
    /** How many machines of each kind a zone has. */
    private val capacity: Int = 4,
) {
    val random = Random(seed)
    val zones = listOf("a", "b", "c")
    val state = StateStandIn(scope, random, nowMs)
    val broken = ArrayList<String>()
    var starts = 0
    private val types = listOf(MachineType("big", 8.0, 0.0, 64.0, 20.0, 1.0, 1.0, 0.4, 3.0, zones))
    private val limits = mapOf("red" to teamLimit, "blue" to 0.0)
    private val running = HashMap<String, Job>()
    private val controllers = HashMap<String, Controller>()
    private val workers = LinkedHashMap<String, Worker>()
    private val bids = HashMap<String, List<String>>()
    private val specs = HashMap<String, JobSpec>()
    private val cancelledAt = HashMap<String, Long>()
    private val told = HashMap<String, String>()
    private val completed = HashSet<String>()
    private var lastMachine = 0
    val nodes = zones.map { "holt-$it" }

    /** Share of reports whose answer does not come back. */
    var lostAnswers = 0.0

    /** Nodes whose packets to and from workers are held back. */
    val cutNodes = HashSet<String>()

    /** A zone cut off from everything outside it: its node is, and its machines reach no other. */
    private var cutZone: String? = null

    fun cut(zone: String?) {
        (cutZone ?: zone)?.let { node -> "holt-$node" }?.let {
            if (zone ==
                null
            ) {
                peerless.remove(it)
            } else {
                peerless.add(it)
            }
        }
        state.refusedFor = zone?.let { "holt-$it" }
        cutZone = zone
    }

    /** Packets between a machine of [zone] and a node are held back. */
    private fun held(zone: String, node: String): Boolean =
        node in cutNodes || (zone == cutZone) != (node == "holt-$cutZone")

    /** The limits of the state service that nodes are told will come. */
    var next = NextStateFacts()

    /** Nodes that run the version before this one, as far as what is stored goes: see [ProductionCodec]. */
    val old = HashSet<String>()

    /** Nodes that other controllers do not reach, and that reach no other. */
    val peerless = HashSet<String>()

    /** Share of reports of which a copy comes in once more, seconds to well over a lease late, at some node. */
    var copies = 0.0

    /** From when on all troubles are over. */
    var overMs = Long.MAX_VALUE
        private set

    fun troublesOver() {
        overMs = nowMs()
    }

    /** Since when each job waits although a machine that fits has room and its team is under its limit. */
    private val roomySince = HashMap<String, Long>()

    /**
     * Starts of tasks after their user was told that the job is cancelled: no rule forbids them for a while, but few
     * are needed.
     */
    var startsAfterCancel = 0
        private set

    /** Run times of single tasks, where they differ from the rest of their job. */
    val runS = HashMap<String, Double>()

    /** Called when the last task of a job has completed. */
    var onLastEnd: (JobSpec) -> Unit = {}

    /** How long answers to workers take at the most. */
    var answerMs = 0L

    private val acceptedAt = HashMap<String, Long>()
    private val wholeAt = HashMap<String, Long>()
    private val began = HashSet<String>()
    private val answeredAt = HashMap<String, Long>()

    // ---- the balancer: it probes the nodes, and resets connections to one that has been unhealthy for long

    private val failedProbes = HashMap<String, Int>()
    private val unhealthySince = HashMap<String, Long>()
    private var flaps = HashMap<String, Int>()

    suspend fun balance() {
        while (true) {
            delay(1_000)
            for (node in nodes) {
                val good = ask(node, "GET", "/ready", ByteArray(0), 1_000)?.status == 200
                failedProbes[node] = if (good) 0 else (failedProbes[node] ?: 0) + 1
                if (good) {
                    unhealthySince.remove(node)
                } else if (failedProbes[node] == 2) {
                    unhealthySince[node] = nowMs()
                    flaps.merge(node, 1, Int::plus)
                }
            }
        }
    }

    fun removals(node: String): Int = flaps[node] ?: 0

    private fun connect(): String = nodes.filter { it !in unhealthySince }.ifEmpty { nodes }.random(random)

    private fun reset(node: String): Boolean = unhealthySince[node]?.let { nowMs() - it > 5_000 } ?: false

    fun startNode(label: String) {
        if (label in running) return
        val facts = Facts(
            nodes = 3,
            zones = zones,
            teams = limits.map { TeamFacts(it.key, cpusMax = it.value) },
            objectives = listOf(Objective("wait", "urgent", 8.0, 0.9)),
            workers = WorkerFacts(0.8, LEASE_S, CANCEL_S),
            state = StateFacts(600.0, 300.0, 8.0, 40, next),
            cloud = CloudFacts(30.0, 1.0),
        )
        val members = nodes.filter { it != label }.map { Member(it, it.removePrefix("holt-"), "127.0.0.1:1") }
        val settings =
            Settings(
                label,
                label.removePrefix("holt-"),
                "127.0.0.1:1",
                "127.0.0.1:2",
                members,
                Endpoints("127.0.0.1:3", "127.0.0.1:4"),
                facts,
            )
        val link = if (label in old) ProductionCodec(state.link(label)) else state.link(label)
        val peers = members.associate { member ->
            member.label to PeerTransport { message, timeoutMs ->
                if (label in peerless ||
                    member.label in peerless
                ) {
                    null
                } else {
                    withTimeoutOrNull(timeoutMs) { controllers[member.label]?.peer(message) }
                }
            }
        }
        val controller = Controller(settings, Links(link, link, cloud, peers), Random(random.nextLong()), nowMs, nowMs)
        running[label] = scope.launch {
            controllers[label] = controller
            controller.run()
        }
    }

    fun controller(label: String): Controller = controllers.getValue(label)

    fun restart(label: String) {
        crash(label)
        startNode(label)
    }

    fun crash(label: String) {
        running.remove(label)?.cancel()
        controllers.remove(label)
    }

    private suspend fun ask(
        label: String,
        method: String,
        path: String,
        body: ByteArray,
        limitMs: Long,
    ): HttpResponse? {
        val controller = controllers[label] ?: return null
        delay(1 + random.nextLong(5))
        val answer = withTimeoutOrNull(limitMs) { controller.route(HttpRequest(method, path, body)) }
        return answer.takeIf { controllers[label] === controller }
    }

    // ---- users

    fun spec(
        id: Int,
        tasks: Int,
        runS: Double = 4.0,
        kind: String = "urgent",
        priority: Priority = Priority.HIGH,
        spot: Boolean = true,
        cores: Double = 2.0,
        zone: String? = null,
    ) = JobSpec(
        id = "j-%06d".format(id), kind = kind,
        team = if (id % 2 ==
            0
        ) {
            "red"
        } else {
            "blue"
        },
        priority = priority, tasks = tasks,
        cores = cores, memoryGb = 4.0, image = "img", imageGb = 0.5, spot = spot, estimateS = runS,
        spread =
        id % 5 == 0,
        oneZone = id % 7 == 0, zone = zone,
    )

    fun body(spec: JobSpec): ByteArray {
        val plain = WireJson.encodeToJsonElement(JobSpec.serializer(), spec)
        val fields = buildJsonObject {
            (plain as kotlinx.serialization.json.JsonObject).forEach { (key, value) -> put(key, value) }
            put("Sort", "sweep")
        }
        return fields.toString().encodeToByteArray()
    }

    /** A test submits it by itself. */
    fun expect(spec: JobSpec): JobSpec = spec.also { specs[it.id] = it }

    /** Submits until some node accepts, then polls until the end; a cancelled one is withdrawn after a while. */
    fun user(spec: JobSpec, cancelAfterMs: Long? = null) = scope.launch {
        specs[spec.id] = spec
        var connected: String? = null
        suspend fun request(method: String, path: String, body: ByteArray, limitMs: Long): HttpResponse? {
            val node = connected?.takeUnless(::reset) ?: connect()
            val response = ask(node, method, path, body, limitMs)
            connected = if (response == null || response.close) null else node
            return response
        }
        // Users name only jobs that were accepted.
        while (spec.awaits.orEmpty().any { it !in acceptedAt }) delay(100)
        while (true) {
            val response = request("POST", "/submissions", body(spec), 5_000)
            if (response != null && response.status in 200..201) break
            if (response != null &&
                response.status in listOf(400, 422)
            ) {
                broken.add("forgotten: ${spec.id} refused with ${response.status}")
            }
            delay(1_000)
        }
        val accepted = nowMs()
        acceptedAt[spec.id] = accepted
        while (true) {
            delay(500 + random.nextLong(2_000))
            if (cancelAfterMs != null && nowMs() - accepted > cancelAfterMs) asked.add(spec.id)
            val withdraw = spec.id in asked && spec.id !in cancelledAt
            val response = if (withdraw) {
                request(
                    "POST",
                    "/submissions/${spec.id}/withdraw",
                    ByteArray(0),
                    2_000,
                )
            } else {
                request("GET", "/submissions/${spec.id}", ByteArray(0), 2_000)
            }
            if (response == null || response.status == 503) continue
            answeredAt[spec.id] = nowMs()
            if (response.status != 200) {
                broken.add("forgotten: ${spec.id} got ${response.status}")
                continue
            }
            check(spec, response, told[spec.id])
        }
    }

    /** Users who want their job cancelled. */
    private val asked = HashSet<String>()

    /** Users call off, within a moment, so many jobs that run; as long as no node confirms it, they ask again. */
    fun cancelNow(count: Int): List<JobSpec> {
        val running = workers.values.flatMap { it.holding().values }.map { it.first }.distinct().filter {
            told[it] !=
                "done" &&
                it !in asked
        }
        return running.take(count).map { id -> specs.getValue(id).also { cancel(it) } }
    }

    /** Asks any node until one confirms it. */
    fun cancel(spec: JobSpec) = scope.launch {
        asked.add(spec.id)
        while (told[spec.id] != "aborted" && told[spec.id] != "done") {
            if (!request(spec, "POST", "/submissions/${spec.id}/withdraw", ByteArray(0))) delay(400)
        }
    }

    fun poll(spec: JobSpec) = scope.launch { request(spec, "GET", "/submissions/${spec.id}", ByteArray(0)) }

    fun submitAgain(spec: JobSpec) = scope.launch { request(spec, "POST", "/submissions", body(spec)) }

    /** All that a job needs, directly or through others. */
    private fun before(spec: JobSpec): Set<String> {
        val found = LinkedHashSet<String>()
        val walk = ArrayDeque(listOf(spec))
        while (walk.isNotEmpty()) {
            for (id in walk.removeFirst().awaits.orEmpty()) {
                if (found.add(
                        id,
                    )
                ) {
                    specs[id]?.let(walk::add)
                }
            }
        }
        return found
    }

    /** All tasks of the job have completed. */
    private fun whole(id: String): Boolean =
        specs[id]?.let { spec -> (0 until spec.tasks).all { "$id/$it" in completed } } ?: false

    /**
     * One request about an accepted job, to any node, whose answer must not be older than what the user was told
     * before.
     */
    private suspend fun request(spec: JobSpec, method: String, path: String, body: ByteArray): Boolean {
        val before = told[spec.id]
        val response = ask(connect(), method, path, body, 2_000) ?: return false
        if (response.status == 503) return false
        answeredAt[spec.id] = nowMs()
        if (response.status !=
            200
        ) {
            broken.add("forgotten: ${spec.id} got ${response.status}")
        } else {
            check(spec, response, before)
        }
        return true
    }

    private fun check(spec: JobSpec, response: HttpResponse, before: String?) {
        val mood = WireJson.decodeFromString(JobStatus.serializer(), response.body.decodeToString()).state
        if (before in listOf("done", "aborted") && before != mood) broken.add("went_back: ${spec.id} $before -> $mood")
        if (mood == "aborted") {
            if (spec.id !in asked &&
                before(spec).none { it in asked }
            ) {
                broken.add("went_back: ${spec.id} cancelled by nobody")
            }
            cancelledAt.putIfAbsent(spec.id, nowMs())
        }
        if (mood == "queued" || mood == "running") {
            val since = before(spec).mapNotNull { cancelledAt[it] }.minOrNull()
            if (since != null && nowMs() - since > CANCEL_S * 1000) broken.add("orphaned: ${spec.id} is called $mood")
        }
        if (mood == "done" &&
            (0 until spec.tasks).any { "${spec.id}/$it" !in completed }
        ) {
            broken.add("not_done: ${spec.id}")
        }
        if (told[spec.id] !in listOf("done", "aborted")) told[spec.id] = mood
    }

    suspend fun stranger(id: String) {
        val response = ask(nodes.random(random), "GET", "/submissions/$id", ByteArray(0), 2_000)
        if (response?.status == 200) broken.add("invented: $id")
    }

    fun allOver(): Boolean = specs.isNotEmpty() && specs.keys.all { told[it] == "done" || told[it] == "aborted" }

    fun open(): List<String> = specs.keys.filter { told[it] != "done" && told[it] != "aborted" }

    // ---- cloud

    var cloudAway = false

    private val cloud = Transport { method, target, body, _ ->
        delay(40)
        if (cloudAway) return@Transport Reply.Answer(503, """{"error":"trouble"}""".encodeToByteArray())
        val text = body?.decodeToString().orEmpty()
        when {
            target == "/flavors" -> ok(WireJson.encodeToString(MachineTypes.serializer(), MachineTypes(types)))

            target.startsWith("/machines/release") -> {
                WireJson.decodeFromString(MachineNames.serializer(), text).machines.forEach {
                    workers.remove(it)?.end()
                }
                ok("{}")
            }

            method == "GET" -> ok(
                WireJson.encodeToString(
                    MachineList.serializer(),
                    MachineList(
                        workers.values.filter { nowMs() - it.bornMs > 2_000 }.map {
                            ListedMachine(
                                it.id,
                                null,
                                "big",
                                it.zone,
                                it.spot,
                                "running",
                                (nowMs() - it.bornMs) / 1000.0,
                            )
                        },
                    ),
                ),
            )

            else -> {
                val request = WireJson.decodeFromString(RentRequest.serializer(), text)
                val names = bids.getOrPut(request.request) {
                    val room = capacity - workers.values.count { it.zone == request.zone && it.spot == request.spot }
                    List(minOf(room, request.count).coerceAtLeast(0)) { boot(request.zone, request.spot).id }
                }
                if (names.isEmpty()) {
                    bids.remove(request.request)
                    Reply.Answer(503, """{"error":"no capacity"}""".encodeToByteArray())
                } else {
                    ok(WireJson.encodeToString(MachineNames.serializer(), MachineNames(names)))
                }
            }
        }
    }

    private fun ok(text: String): Reply = Reply.Answer(200, text.encodeToByteArray())

    /** The cloud takes a machine back without a notice. */
    fun take(worker: Worker) {
        workers.remove(worker.id)?.end()
    }

    fun boot(zone: String, spot: Boolean): Worker =
        Worker("m-%06d".format(++lastMachine), zone, spot).also { workers[it.id] = it }

    /** Who owns which partition, as the state service says. */
    fun owners(): Map<String, String> = zones.mapNotNull { zone ->
        state.value(Keys.partition(zone))?.let { zone to decodeRecord(PartitionRecord.serializer(), it).owner }
    }.toMap()

    fun machines(): List<Worker> = workers.values.toList()

    // ---- workers

    private class Held(val job: String, val attempt: Long, var state: String, var cause: String?, var doneMs: Long)

    inner class Worker(val id: String, val zone: String, val spot: Boolean) {
        val bornMs = nowMs()
        private var session = 1L
        private var seq = 0L
        private var token = 0L
        private var answeredMs = bornMs
        private var node = nodes.random(random)
        private val tasks = LinkedHashMap<String, Held>()
        var hungUntilMs = 0L
        var faulty = false

        /** Its reports arrive, but no answer or command comes back. */
        var unreached = false

        /** It reaches no controller. */
        var mute = false

        /** It does what it is there for: what waits may count on it. */
        val sound: Boolean get() = nowMs() > hungUntilMs && !unreached && !mute && !faulty && nowMs() - bornMs > 10_000

        val freeCores: Double get() = 8.0 -
            tasks.values.filter { it.state != "exited" }.sumOf { specs.getValue(it.job).cores }
        private val loop = scope.launch {
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
        fun holding(): Map<String, Pair<String, Long>> {
            expire()
            return tasks.filterValues { it.state == "running" }.entries.associate {
                it.key.substringBeforeLast('#') to
                    (it.value.job to it.value.attempt)
            }
        }

        /** Tasks that it has not ended, with their image or without. */
        fun shown(): Set<String> {
            expire()
            return tasks.filterValues { it.state != "exited" }.keys.mapTo(HashSet()) { it.substringBeforeLast('#') }
        }

        /** The lease runs out on a hanging machine too. */
        private fun expire() {
            if (nowMs() - answeredMs > LEASE_S * 1000) {
                tasks.clear()
                session++
                answeredMs = nowMs()
            }
        }

        private fun advance() {
            if (nowMs() < hungUntilMs) return
            expire()
            for ((key, held) in tasks) {
                val name = key.substringBeforeLast('#')
                val spec = specs.getValue(held.job)
                if (held.state == "fetching" && nowMs() > held.doneMs) {
                    starting(name, spec)
                    held.state = "running"
                    held.doneMs = nowMs() + ((runS[name] ?: spec.estimateS) * 1000).toLong()
                } else if (held.state == "running" && nowMs() > held.doneMs) {
                    held.state = "exited"
                    held.cause = "done"
                    if (completed.add(name) && whole(spec.id)) {
                        wholeAt[spec.id] = nowMs()
                        onLastEnd(spec)
                    }
                }
            }
        }

        private fun starting(name: String, spec: JobSpec) {
            starts++
            val waitedMs =
                nowMs() -
                    (
                        (
                            spec.awaits.orEmpty().mapNotNull(
                                wholeAt::get,
                            ) + listOfNotNull(acceptedAt[spec.id])
                            ).maxOrNull()
                            ?: nowMs()
                        )
            if (began.add(spec.id) &&
                waitedMs > BEGIN_MS
            ) {
                broken.add("${spec.id} with ${spec.tasks} tasks began after $waitedMs ms")
            }
            val elsewhere = workers.values.filter { it !== this && name in it.holding() }
            if (elsewhere.isNotEmpty()) broken.add("ran_twice: $name on $id and ${elsewhere.map { it.id }}")
            if (spot && !spec.spot) broken.add("wrong_place: $name on spot machine $id")
            val sameJob = workers.values.flatMap { worker ->
                worker.holding().values.filter { it.first == spec.id }.map { worker.zone }
            }
            spec.awaits.orEmpty().filterNot(::whole).let {
                if (it.isNotEmpty()) broken.add("too_early: $name starts before $it")
            }
            if (spec.zone != null && spec.zone != zone) broken.add("wrong_place: $name in $zone")
            if (spec.oneZone &&
                sameJob.any { it != zone }
            ) {
                broken.add("wrong_place: $name in $zone, others in $sameJob")
            }
            if (spec.spread &&
                sameJob.count { it == zone } + 1 > spec.perZoneLimit
            ) {
                broken.add("wrong_place: too many of ${spec.id} in $zone")
            }
            if (spec.id in cancelledAt) startsAfterCancel++
            cancelledAt[spec.id]?.let { if (nowMs() - it > CANCEL_S * 1000) broken.add("ran_cancelled: $name starts") }
            val limit = limits.getValue(spec.team)
            val used = workers.values.flatMap { it.holding().values }.map { specs.getValue(it.first) }.filter {
                it.team ==
                    spec.team
            }.sumOf { it.cores }
            if (limit > 0 &&
                used + spec.cores > limit + 1e-6
            ) {
                broken.add("quota: ${spec.team} uses ${used + spec.cores}")
            }
        }

        private suspend fun turn() {
            delay(500 + random.nextLong(600))
            if (nowMs() < hungUntilMs) return
            advance()
            val report = Report(
                id, "x", "big", zone, spot, session, ++seq, token, null,
                tasks.entries.map {
                    TaskReport(it.key.substringBeforeLast('#'), it.value.attempt, it.value.state, it.value.cause)
                },
            )
            val sent = nowMs()
            val body = WireJson.encodeToString(Report.serializer(), report).encodeToByteArray()
            val to = node
            if (random.nextDouble() < copies) {
                scope.launch {
                    delay(1_000 + random.nextLong((LEASE_S * 2_500).toLong()))
                    ask(if (random.nextBoolean()) to else nodes.random(random), "POST", "/v1/report", body, 4_000)
                }
            }
            val response = when {
                held(zone, to) -> {
                    // Packets are held back and come in once the cut is over; nobody waits for the answer then.
                    scope.launch {
                        while (held(zone, to)) delay(100)
                        ask(to, "POST", "/v1/report", body, 4_000)
                    }
                    delay(4_000)
                    null
                }

                mute -> {
                    delay(4_000)
                    null
                }

                unreached || random.nextDouble() < lostAnswers -> {
                    ask(to, "POST", "/v1/report", body, 4_000)
                    delay(random.nextLong(4_000))
                    null
                }

                else -> ask(to, "POST", "/v1/report", body, 4_000).also {
                    if (answerMs >
                        0
                    ) {
                        delay(random.nextLong(answerMs))
                    }
                }
            }
            if (nowMs() < hungUntilMs) delay(hungUntilMs - nowMs())
            // Whatever comes later than this is dropped, also by a machine that hung meanwhile.
            if (response?.status == 200 && nowMs() - sent <= 4_000) {
                advance()
                if (report.session != session) return
                val commands = WireJson.decodeFromString(Commands.serializer(), response.body.decodeToString())
                if (commands.token < token) return
                token = commands.token
                answeredMs = sent
                commands.commands.forEach(::execute)
            } else {
                val other = if (response?.status ==
                    421
                ) {
                    WireJson.decodeFromString(Redirect.serializer(), response.body.decodeToString()).reportTo
                } else {
                    null
                }
                if (other == null || other == node) delay(1_000)
                node = other?.takeIf { it != node } ?: nodes[(nodes.indexOf(node) + 1) % nodes.size]
            }
        }

        private fun execute(command: Command) {
            val key = "${command.task}#${command.attempt}"
            when (command.op) {
                "start" -> if (key !in tasks) {
                    val job = command.task.substringBefore('/')
                    val cores = tasks.values.filter { it.state != "exited" }.sumOf { specs.getValue(it.job).cores }
                    val cause = when {
                        tasks.any {
                            it.key.substringBeforeLast('#') == command.task && it.value.state != "exited"
                        } -> "busy"

                        cores + specs.getValue(job).cores > 8.0 -> "no_room"

                        faulty -> "error"

                        else -> null
                    }
                    tasks[key] =
                        Held(job, command.attempt, if (cause == null) "fetching" else "exited", cause, nowMs() + 500)
                }

                "halt" -> tasks[key]?.let {
                    if (it.state != "exited") {
                        it.state = "exited"
                        it.cause = "stopped"
                    }
                }

                "forget" -> if (tasks[key]?.state == "exited") tasks.remove(key)
            }
        }
    }

    /** Looks for cancelled work that is still on a machine, and for jobs about which nobody gets an answer. */
    fun inspect() {
        for ((id, at) in acceptedAt) {
            if (told[id] == "done" || told[id] == "aborted" || overMs == Long.MAX_VALUE) continue
            val silentMs = nowMs() - maxOf(overMs, at, answeredAt[id] ?: 0)
            if (silentMs > FORGOTTEN_MS) broken.add("forgotten: no question about $id was answered for $silentMs ms")
        }
        if (overMs != Long.MAX_VALUE) for ((id, spec) in specs) lookForRoom(id, spec)
        for (worker in workers.values) {
            for ((name, held) in worker.holding()) {
                val at = cancelledAt[held.first] ?: continue
                if (nowMs() - at > CANCEL_S * 1000) broken.add("ran_cancelled: $name on ${worker.id}")
            }
        }
    }

    /** Nothing may wait for 90 s while a machine that fits has room and its team is under its limit. */
    private fun lookForRoom(id: String, spec: JobSpec) {
        val over = told[id] == "done" || told[id] == "aborted" || id !in acceptedAt
        val here = workers.values.flatMap { worker -> worker.shown().filter { it.startsWith("$id/") } }.toSet()
        val waits =
            !over && spec.awaits.orEmpty().all(::whole) &&
                (0 until spec.tasks).any { "$id/$it" !in completed && "$id/$it" !in here }
        val used = workers.values.flatMap { it.holding().values }.map { specs.getValue(it.first) }.filter {
            it.team ==
                spec.team
        }.sumOf { it.cores }
        val limit = limits.getValue(spec.team)
        val place =
            waits && (limit <= 0 || used + spec.cores <= limit) &&
                workers.values.any { it.sound && it.freeCores >= spec.cores && allowed(spec, it) }
        if (!place) {
            roomySince.remove(id)
        } else if (nowMs() - roomySince.getOrPut(id) { nowMs() } > STARVED_MS) {
            broken.add("starved: $id waits though there is room")
        }
    }

    private fun allowed(spec: JobSpec, worker: Worker): Boolean {
        if ((worker.spot && !spec.spot) || (spec.zone != null && spec.zone != worker.zone)) return false
        val zones = workers.values.flatMap { other ->
            other.shown().filter { it.startsWith("${spec.id}/") }.map { other.zone }
        }
        return !(spec.oneZone && zones.any { it != worker.zone }) &&
            !(spec.spread && zones.count { it == worker.zone } + 1 > spec.perZoneLimit)
    }
}
