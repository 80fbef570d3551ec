package io.otterknot.records

import io.otterknot.api.JobAdmission
import io.otterknot.api.JobApi
import io.otterknot.api.JobStoreAccess
import io.otterknot.cloud.CloudClient
import io.otterknot.config.AnnouncedStoreLimits
import io.otterknot.config.CloudSettings
import io.otterknot.config.Endpoints
import io.otterknot.config.InvalidSettingsException
import io.otterknot.config.LoadSpreadMode
import io.otterknot.config.LoadSpreadSettings
import io.otterknot.config.MachineLimits
import io.otterknot.config.Member
import io.otterknot.config.ObjectiveSettings
import io.otterknot.config.OperatorSettings
import io.otterknot.config.OperatorSettingsFile
import io.otterknot.config.Settings
import io.otterknot.config.SettingsFile
import io.otterknot.config.SiteSettings
import io.otterknot.config.StoreSettings
import io.otterknot.config.TeamSettings
import io.otterknot.config.WorkerSettings
import io.otterknot.controller.RequestRouter
import io.otterknot.heartbeat.HeartbeatEndpoint
import io.otterknot.http.HttpRequest
import io.otterknot.http.HttpResponse
import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.jobs.Job
import io.otterknot.metrics.Metrics
import io.otterknot.partition.Partition
import io.otterknot.partition.TeamQuota
import io.otterknot.peer.PeerCodec
import io.otterknot.peer.PeerMessage
import io.otterknot.ratelimit.RateLimiter
import io.otterknot.rebalance.MoveEvent
import io.otterknot.rebalance.MoveJournal
import io.otterknot.rebalance.MoveKind
import io.otterknot.rebalance.MoveOutcome
import io.otterknot.rebalance.MoveReason
import io.otterknot.rebalance.MoveReport
import io.otterknot.rebalance.MoveState
import io.otterknot.rebalance.PlanningPauseReason
import io.otterknot.rebalance.RefusalReason
import io.otterknot.rebalance.WaitCause
import io.otterknot.scheduling.PartitionView
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.Snapshot
import io.otterknot.store.WriteLimits
import io.otterknot.testing.StoreFixture
import io.otterknot.testing.applyRecord
import io.otterknot.testing.jobChange
import io.otterknot.testing.leadership
import io.otterknot.testing.testPartition
import io.otterknot.wire.ErrorResponse
import io.otterknot.wire.ExitCause
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.HeartbeatResponse
import io.otterknot.wire.JobSpec
import io.otterknot.wire.JobState
import io.otterknot.wire.JobStatus
import io.otterknot.wire.KeyChange
import io.otterknot.wire.KeyValue
import io.otterknot.wire.KeyValuePage
import io.otterknot.wire.LeaderRedirect
import io.otterknot.wire.LeaseGrant
import io.otterknot.wire.LeaseRequest
import io.otterknot.wire.ListedMachine
import io.otterknot.wire.ListedMachineState
import io.otterknot.wire.MachineList
import io.otterknot.wire.MachineNames
import io.otterknot.wire.MachineType
import io.otterknot.wire.MachineTypes
import io.otterknot.wire.MalformedMessageException
import io.otterknot.wire.Priority
import io.otterknot.wire.RevisionResponse
import io.otterknot.wire.ScaleOutRequest
import io.otterknot.wire.TaskName
import io.otterknot.wire.TaskState
import io.otterknot.wire.TaskStatus
import io.otterknot.wire.TransactionRequest
import io.otterknot.wire.VersionCondition
import io.otterknot.wire.WatchEvents
import io.otterknot.wire.WireJson
import io.otterknot.wire.parseHeartbeat
import io.otterknot.wire.parseSubmission
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path
import java.util.BitSet
import kotlin.random.Random

/**
 * Every format that others read or that outlives a process, as literal text or bytes. A change in the code that changes
 * one of them, such as a renamed property, fails here. The expected texts are never made by the code under test.
 */
class GoldenFormatTest {
    /** [value] is written exactly as [written], and read back from it, or from [read] if others write it otherwise. */
    class Text<T>(
        val name: String,
        val serializer: KSerializer<T>,
        val value: T,
        val written: String,
        val read: String = written,
    ) {
        override fun toString() = name

        fun check() {
            assertEquals(written, WireJson.encodeToString(serializer, value))
            assertEquals(value, WireJson.decodeFromString(serializer, written))
            assertEquals(value, WireJson.decodeFromString(serializer, read))
        }
    }

    /** Something that has to be exactly this text. */
    class Exact(val name: String, val expected: String, val actual: () -> String) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("messages")
    fun `a message is written and read as the protocol says`(message: Text<*>) = message.check()

    @ParameterizedTest
    @MethodSource("records")
    fun `a stored record is written and read as before`(record: Text<*>) = record.check()

    @ParameterizedTest
    @MethodSource("names")
    fun `an entry of an enumeration keeps its name`(entry: Text<*>) = entry.check()

    @ParameterizedTest
    @MethodSource("moveEvents")
    fun `an event in the log is written and read as before`(event: Text<*>) = event.check()

    @ParameterizedTest
    @MethodSource("texts")
    fun `a name or text stays as it is`(text: Exact) = assertEquals(text.expected, text.actual())

    // ---- messages that are read by hand

    @Test
    fun `the protocol's submission is read into these values`() {
        val expected = JobSpec(
            id = "j-000412", jobClass = "train", team = "vision", priority = Priority.HIGH, tasks = 16, cores = 8.0,
            gpus = 1.0, memoryGb = 64.0, image = "img-07", imageGb = 6.2, types = listOf("g8"), zone = null,
            sameZone = true, spreadAcrossZones = false, spot = true, estimateS = 240.0, checkpointS = 30.0, saveS = 4.0,
            dueS = 900.0, dependencies = null,
        )
        assertEquals(expected, parseSubmission(PROTOCOL_SUBMISSION.encodeToByteArray()))
        val others = PROTOCOL_SUBMISSION
            .replace("\"Reach\":null", "\"Reach\":\"a\"").replace("\"SamePlace\":true", "\"SamePlace\":false")
            .replace("\"Scatter\":false", "\"Scatter\":true").replace("\"DueS\":900.0", "\"Awaits\":[\"j-7\",\"j-8\"]")
        assertEquals(
            expected.copy(
                zone = "a",
                sameZone = false,
                spreadAcrossZones = true,
                dueS = null,
                dependencies = listOf("j-7", "j-8"),
            ),
            parseSubmission(others.encodeToByteArray()),
        )
    }

    @Test
    fun `the protocol's report is read into these values`() {
        assertEquals(REPORT, parseHeartbeat(PROTOCOL_REPORT.encodeToByteArray()))
    }

    /** What is wrong with the body of a submission or a report, as its sender is told. */
    class Bad(val body: String, val message: String) {
        override fun toString() = message
    }

    @ParameterizedTest
    @MethodSource("badSubmissions")
    fun `a bad submission is refused with this text`(bad: Bad) {
        val refusal =
            assertThrows(MalformedMessageException::class.java) { parseSubmission(bad.body.encodeToByteArray()) }
        assertEquals(bad.message, refusal.message)
    }

    @ParameterizedTest
    @MethodSource("badReports")
    fun `a bad report is refused with this text`(bad: Bad) {
        val refusal =
            assertThrows(MalformedMessageException::class.java) { parseHeartbeat(bad.body.encodeToByteArray()) }
        assertEquals(bad.message, refusal.message)
    }

    // ---- frames between controllers

    /** A message and its whole frame. */
    class Frame(val name: String, val message: PeerMessage, val hex: String) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("frames")
    fun `a frame between controllers is these bytes`(frame: Frame) {
        assertEquals(frame.hex, PeerCodec.encode(frame.message).joinToString("") { "%02x".format(it) })
        val body = frame.hex.chunked(2).map { it.toInt(16).toByte() }.drop(4).toByteArray()
        assertEquals(fields(frame.message), fields(PeerCodec.decode(body)))
    }

    /** What a message says; some have no equality of their own. */
    private fun fields(message: PeerMessage): List<Any?> = when (message) {
        is PeerMessage.RelayRequest ->
            listOf("carry", message.method, message.target, message.body?.decodeToString(), message.timeoutMs)

        is PeerMessage.RelayResponse -> listOf("carried", message.status, message.body.decodeToString())

        else -> listOf(message)
    }

    @Test
    fun `the sets of completed tasks are kept as these texts`() {
        val tasks = BitSet().also {
            it.set(0, 2)
            it.set(4_096)
            it.set(16_384 + 9)
        }
        assertEquals(
            listOf("Aw", "AQ"),
            listOf(TaskBitmaps.encode(tasks, 0, 4_096), TaskBitmaps.encode(tasks, 1, 4_096)),
        )
        assertEquals("AAI", TaskBitmaps.encode(tasks, 1))
        val read = BitSet()
        TaskBitmaps.decodeInto("Aw", 0, read, 4_096)
        TaskBitmaps.decodeInto("AQ", 1, read, 4_096)
        TaskBitmaps.decodeInto("AAI", 1, read)
        assertEquals(tasks, read)
        assertEquals(listOf("j-7", 3), listOf(TaskBitmaps.jobOf("j-7.3"), TaskBitmaps.indexOf("j-7.3")))
    }

    // ---- requests to the state service and the cloud

    private val requests = ArrayList<String>()

    private fun answering(status: Int, text: String) = Transport { method, target, body, _ ->
        requests.add("$method $target ${body?.decodeToString()}")
        Reply.Answer(status, text.encodeToByteArray())
    }

    private fun state(status: Int, text: String): KeyValueStoreClient {
        val link = answering(status, text)
        return KeyValueStoreClient(link, link, RateLimiter(1_000.0, 1_000.0, { 0 }), Metrics { 0 })
    }

    private fun cloud(status: Int, text: String) = CloudClient(
        answering(status, text),
        RateLimiter(1_000.0, 1.0, {
            0
        }),
    )

    @Test
    fun `requests to the state service are these`() = runTest {
        val put = CompareAndSwap.put(Snapshot.absent("a/b"), JsonPrimitive(1), 7).alsoRemove(listOf("c/d"))
        state(200, """{"Tide":432}""").transact(put)
        state(200, """{"Tide":432}""").checkConditions(listOf(VersionCondition("a/b", 3)))
        state(404, """{"Tide":431}""").revision()
        state(200, """{"Pairs":[],"Tide":1}""").list("o/", null)
        state(200, """{"Pairs":[],"Tide":1}""").list("o/", "o/j/j-7")
        state(200, """{"Tenure":7}""").grantLease(5_000)
        state(200, "{}").renewLease(7)
        state(200, """{"Tide":433}""").watch("o/", 431, 10_000)
        val expected = listOf(
            """POST /txn {"Guards":[{"Key":"a/b","Mark":0}],"Then":[{"Put":"a/b","V":1,"Tenure":7},""" +
                """{"Remove":"c/d"}]}""",
            """POST /txn {"Guards":[{"Key":"a/b","Mark":3}],"Then":[]}""",
            "GET /store/o/none null",
            "GET /store?Under=o/&Page=200 null",
            "GET /store?Under=o/&After=o/j/j-7&Page=200 null",
            """POST /holds {"TtlMs":5000}""",
            "POST /holds/7/extend ",
            "GET /watch?Under=o/&After=431&WaitMs=10000 null",
        )
        assertEquals(expected, requests)
    }

    @Test
    fun `requests to the cloud are these`() = runTest {
        cloud(200, """{"Breeds":[]}""").types()
        cloud(200, """{"Holts":["m-000231"]}""").scaleOut(ScaleOutRequest("r-17", "g8", "a", true, 12))
        cloud(200, "{}").release(listOf("m-000231", "m-000232"))
        cloud(200, """{"Holts":[]}""").machines()
        val expected = listOf(
            "GET /flavors null",
            """POST /machines {"Bid":"r-17","Breed":"g8","Reach":"a","Driftwood":true,"Number":12}""",
            """POST /machines/release {"Holts":["m-000231","m-000232"]}""",
            "GET /machines?Page=500 null",
        )
        assertEquals(expected, requests)
    }

    // ---- settings

    @Test
    fun `the settings file is read into these values`() = assertEquals(SETTINGS, SettingsFile.parse(SETTINGS_TEXT))

    @Test
    fun `what may be left out of the settings file has these defaults`() {
        val expected = Settings(
            label = "holt-0",
            domain = "a",
            bind = "127.0.0.1:8080",
            peerListen = "127.0.0.1:8081",
            members = emptyList(),
            endpoints = Endpoints("127.0.0.1:1", "127.0.0.1:2"),
            facts = SiteSettings(
                nodes = 1, zones = listOf("a"), clockErrorMs = 0.0, teams = emptyList(), objectives = emptyList(),
                workers = WorkerSettings(
                    0.8,
                    10.0,
                    35.0,
                ),
                state = StoreSettings(600.0, 200.0, 8.0, 40, AnnouncedStoreLimits()),
                cloud = CloudSettings(10.0, 3.0), machineLimits = MachineLimits(512),
            ),
        )
        assertEquals(expected, SettingsFile.parse(LEAST_SETTINGS_TEXT))
    }

    /** [from] in the least settings is replaced by [to]. */
    class BadSetting(val from: String, val to: String, val message: String) {
        override fun toString() = message
    }

    @ParameterizedTest
    @MethodSource("badSettings")
    fun `bad settings are refused with this line`(bad: BadSetting) {
        assertEquals(true, bad.from in LEAST_SETTINGS_TEXT)
        val text = LEAST_SETTINGS_TEXT.replace(bad.from, bad.to)
        assertEquals(
            bad.message,
            assertThrows(InvalidSettingsException::class.java) {
                SettingsFile.parse(text)
            }.message,
        )
    }

    @Test
    fun `a settings file that is not there is told with this line`(@TempDir directory: Path) {
        val path = directory.resolve("none.toml")
        val refusal = assertThrows(InvalidSettingsException::class.java) { SettingsFile.read(path) }
        assertEquals("cannot read the settings file $path: no such file", refusal.message)
    }

    @Test
    fun `the operators' file is read into these values`() {
        assertEquals(OperatorSettings(ALL_LOAD_SPREAD), OperatorSettingsFile.parse(OPERATORS_TEXT))
        for (text in listOf("", "(load-spread)")) {
            assertEquals(OperatorSettings(DEFAULT_LOAD_SPREAD), OperatorSettingsFile.parse(text))
        }
    }

    @ParameterizedTest
    @MethodSource("badOperators")
    fun `a bad operators' file is refused with this line`(bad: Bad) {
        val refusal = assertThrows(InvalidSettingsException::class.java) { OperatorSettingsFile.parse(bad.body) }
        assertEquals(bad.message, refusal.message)
    }

    // ---- the commands

    @Test
    fun `the command check prints exactly this`(@TempDir directory: Path) {
        val settings = Files.writeString(directory.resolve("settings.toml"), LEAST_SETTINGS_TEXT)
        val operators = Files.writeString(directory.resolve("operators.sexp"), OPERATORS_TEXT)
        val printed = printedBy("check", "--config", "$settings", "--operators", "$operators")
        assertEquals("holt-0: the settings are good\n$operators: good; load-spread is observe", printed)
    }

    /** What a command that succeeds prints. */
    private fun printedBy(vararg arguments: String): String {
        val printed = ByteArrayOutputStream()
        val before = System.out
        System.setOut(PrintStream(printed, true, Charsets.UTF_8))
        try {
            assertEquals(0, io.otterknot.cli.run(arrayOf(*arguments)))
        } finally {
            System.setOut(before)
        }
        return printed.toString(Charsets.UTF_8).replace(System.lineSeparator(), "\n").trimEnd()
    }

    @Test
    fun `lines of older logs are understood`() {
        val line = "INFO MoveJournal - load-spread " +
            """{"type":"move","zone":"a","team":"red","job":"j-1","kind":"handover","state":"placed",""" +
            """"reason":"overdue","gainS":4.0,"tasks":7}"""
        val event = MoveEvent.Ended(
            "a", "red", "j-1", MoveKind.REASSIGNMENT, MoveState.PLACED, MoveReason.OVERDUE, 4.0, 7,
            null, null, 0.0, null, null, false,
        )
        assertEquals(true, MoveReport.isMarked(line))
        assertEquals(event, MoveReport.eventOf(line))
        assertEquals(
            MoveEvent.Summary("a", 30.0, emptyMap(), emptyMap(), emptyMap()),
            MoveReport.eventOf("load-spread {\"type\":\"summary\",\"zone\":\"a\",\"seconds\":30.0}"),
        )
        assertNull(MoveReport.eventOf("INFO Ownership - owner of a"))
        assertEquals(false, MoveReport.isMarked("INFO load-spread is on"))
        assertThrows(SerializationException::class.java) { MoveReport.eventOf("load-spread {\"type\":\"later\"}") }
    }

    class Moves(val name: String, val options: List<String>, val log: List<String>, val printed: String) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("moves")
    fun `the command moves prints exactly this`(moves: Moves, @TempDir directory: Path) {
        val log = Files.write(directory.resolve("log"), moves.log)
        assertEquals(moves.printed, printedBy("moves", "--log", "$log", *moves.options.toTypedArray()))
    }

    // ---- answers to users and workers

    /** What is told of [request]: the status, the body, and what else the head says. */
    private fun told(request: String, answer: HttpResponse) = buildString {
        append(request).append(" -> ").append(answer.status).append(' ').append(answer.body.decodeToString())
        answer.retryAfterS?.let { append(" Retry-After: ").append(it) }
        answer.allow?.let { append(" Allow: ").append(it) }
        if (answer.close) append(" close")
    }

    private suspend fun RequestRouter.ask(request: String, body: String = ""): String {
        val (method, path) = request.split(' ')
        return told(request, route(HttpRequest(method, path, body.encodeToByteArray())))
    }

    /** One controller's answers to users and workers, without the rest of it. */
    private class Node(val bench: StoreFixture) {
        var types: List<MachineType>? = listOf(MachineType("g8", 96.0, 8.0, 768.0, zones = listOf("a", "b")))
        var isIsolated = false
        val partitions = HashMap<String, Partition>()
        val ownership = bench.leadership("holt-a", mapOf("holt-a" to "a", "holt-b" to "b"), partitions = partitions)
        private val users = JobApi(
            JobStoreAccess(bench.client, bench.replica, bench.readJobs(), WriteLimits(8_192, 40)),
            JobAdmission(listOf(TeamSettings("vision", cpusMax = 90.0))) { types },
            partitions = emptyMap(),
            partitionViews = { listOf(PartitionView("a")) },
            isIsolated = { isIsolated },
            wallMs = bench.now,
            random = Random(1),
        )
        val router = RequestRouter(users, HeartbeatEndpoint("holt-a", ownership, partitions, bench.now))

        /** Acts as the owner of [zone] does once it has read everything that was written before its claim. */
        fun takeUp(zone: String, token: Long) {
            val teams = listOf(TeamQuota("vision", 1.0, QuotaAmount(90.0, 0.0)))
            partitions[zone] = testPartition(teams, zone, token) { types?.first() }
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun onNode(work: suspend Node.() -> Unit) = runTest {
        val bench = StoreFixture(this)
        coroutineScope {
            Node(bench).work()
            currentCoroutineContext().cancelChildren()
        }
    }

    private suspend fun Node.start() = CoroutineScope(currentCoroutineContext()).run {
        launch { bench.replica.followWatch() }
        launch { bench.replica.serveReadBarriers() }
        bench.replica.awaitLoaded()
    }

    @Test
    fun `a node that has just started answers so`() = onNode {
        assertEquals(
            listOf(
                """GET /ready -> 503 {"error":"starting"} Retry-After: 1""",
                """POST /submissions -> 503 {"error":"the jobs have not been read yet"} Retry-After: 1""",
            ),
            listOf(router.ask("GET /ready"), router.ask("POST /submissions", PROTOCOL_SUBMISSION)),
        )
        start()
        types = null
        assertEquals(
            listOf(
                """GET /ready -> 503 {"error":"starting"} Retry-After: 1""",
                """POST /submissions -> 503 {"error":"the machine types are not known yet"} Retry-After: 1""",
            ),
            listOf(router.ask("GET /ready"), router.ask("POST /submissions", PROTOCOL_SUBMISSION)),
        )
    }

    @Test
    @Suppress("LongMethod") // A list of requests and what each is answered, in the order in which they come.
    fun `users are answered so`() = onNode {
        start()
        bench.state.store(
            jobChange("j-1", JobRecord(terminalState = TerminalState.DONE, taskCount = 16)),
            jobChange("j-2", JobRecord(terminalState = TerminalState.CANCELLED, taskCount = 16)),
        )
        delay(1_000)
        val submission = PROTOCOL_SUBMISSION
        val accepted = """{"Uid":"j-000412","Mood":"queued","done":0,"running":0}"""
        val answers = listOf(
            router.ask("GET /ready"),
            router.ask("POST /submissions", submission),
            router.ask("POST /submissions", submission).also { delay(1_000) },
            router.ask("GET /submissions/j-000412"),
            router.ask("POST /submissions/j-000412/withdraw"),
            router.ask("POST /submissions", submission),
            router.ask("GET /submissions/j-1"),
            router.ask("POST /submissions/j-1/withdraw"),
            router.ask("GET /submissions/j-2"),
            router.ask("GET /submissions/j-3"),
            router.ask("POST /submissions/j-3/withdraw"),
            router.ask("GET /submissions/x"),
            router.ask("POST /submissions", "["),
            router.ask("POST /submissions", submission.replace("000412", "4").replace("\"Chores\":16", "\"Chores\":0")),
            router.ask("POST /submissions", submission.replace("000412", "4").replace("vision", "green")),
            router.ask("POST /submissions", submission.replace("000412", "4").replace("8.0", "91.0")),
            router.ask("POST /submissions", submission.replace("000412", "4").replace("64.0", "769.0")),
            router.ask("POST /submissions", changed("900.0", "9,\"Awaits\":[\"j-5\"]").replace("000412", "4")),
            router.ask("GET /"),
            router.ask("GET /submissions/j-1/x"),
            router.ask("GET /submissions"),
            router.ask("POST /submissions/j-1"),
            router.ask("GET /submissions/j-1/withdraw"),
            router.ask("POST /ready"),
            router.ask("GET /v1/report"),
        )
        val expected = listOf(
            "GET /ready -> 200 {}",
            """POST /submissions -> 201 {"Uid":"j-000412","Mood":"queued"}""",
            "POST /submissions -> 200 $accepted",
            "GET /submissions/j-000412 -> 200 $accepted",
            """POST /submissions/j-000412/withdraw -> 200 {"Uid":"j-000412","Mood":"aborted"}""",
            """POST /submissions -> 200 {"Uid":"j-000412","Mood":"aborted"}""",
            """GET /submissions/j-1 -> 200 {"Uid":"j-1","Mood":"done","done":16,"running":0}""",
            """POST /submissions/j-1/withdraw -> 200 {"Uid":"j-1","Mood":"done","done":16,"running":0}""",
            """GET /submissions/j-2 -> 200 {"Uid":"j-2","Mood":"aborted"}""",
            """GET /submissions/j-3 -> 404 {"error":"no job j-3"}""",
            """POST /submissions/j-3/withdraw -> 404 {"error":"no job j-3"}""",
            """GET /submissions/x -> 404 {"error":"no job x"}""",
            """POST /submissions -> 400 {"error":"not JSON"}""",
            """POST /submissions -> 400 {"error":"Chores is not between 1 and 100000"}""",
            """POST /submissions -> 422 {"error":"unknown team green"}""",
            """POST /submissions -> 422 {"error":"one task needs more than the limit of team vision"}""",
            """POST /submissions -> 422 {"error":"a task fits no allowed machine type"}""",
            """POST /submissions -> 422 {"error":"Awaits names j-5, which was never accepted"}""",
            """GET / -> 404 {"error":"no such path"}""",
            """GET /submissions/j-1/x -> 404 {"error":"no such path"}""",
            """GET /submissions -> 405 {"error":"only POST"} Allow: POST""",
            """POST /submissions/j-1 -> 405 {"error":"only GET"} Allow: GET""",
            """GET /submissions/j-1/withdraw -> 405 {"error":"only POST"} Allow: POST""",
            """POST /ready -> 405 {"error":"only GET"} Allow: GET""",
            """GET /v1/report -> 405 {"error":"only POST"} Allow: POST""",
        )
        assertEquals(expected.joinToString("\n"), answers.joinToString("\n"))
    }

    @Test
    fun `users are answered so while the state service is away`() = onNode {
        start()
        bench.state.outage(true)
        delay(1_000)
        val away = """{"error":"the state service is away"} Retry-After: 1"""
        assertEquals(
            listOf(
                "GET /submissions/j-1 -> 503 $away",
                "POST /submissions/j-1/withdraw -> 503 $away",
                """POST /submissions -> 503 {"error":"the state service does not take changes at the moment"} """ +
                    "Retry-After: 1",
            ),
            listOf(
                router.ask("GET /submissions/j-1"),
                router.ask("POST /submissions/j-1/withdraw"),
                router.ask("POST /submissions", PROTOCOL_SUBMISSION),
            ),
        )
        isIsolated = true
        assertEquals(
            """GET /ready -> 503 {"error":"cut off from the state service and from all other controllers"} """ +
                "Retry-After: 1 close",
            router.ask("GET /ready"),
        )
    }

    @Test
    fun `workers are answered so`() = onNode {
        start()
        bench.state.store(KeyChange("o/p/b", WireJson.parseToJsonElement("""{"o":"holt-b","i":"x"}""")))
        val scope = CoroutineScope(currentCoroutineContext())
        scope.launch { ownership.keepStoreLease() }
        scope.launch { ownership.acquirePartitions() }
        delay(10_000)
        val report = PROTOCOL_REPORT.replace("\"Warrant\":41", "\"Warrant\":0")
        val claimed = router.ask("POST /v1/report", report)
        takeUp("a", 2)
        val answers = listOf(
            claimed,
            router.ask("POST /v1/report", report.replace("\"Ripple\":88", "\"Ripple\":89")),
            router.ask("POST /v1/report", report),
            router.ask("POST /v1/report", report.replace("\"Reach\":\"a\"", "\"Reach\":\"b\"")),
            router.ask("POST /v1/report", report.replace("\"Reach\":\"a\"", "\"Reach\":\"z\"")),
            router.ask("POST /v1/report", report.replace("\"Dive\":1", "\"Dive\":0")),
            router.ask("POST /v1/report", PROTOCOL_REPORT),
        )
        val expected = listOf(
            """POST /v1/report -> 200 {"Warrant":2,"Calls":[]}""",
            """POST /v1/report -> 200 {"Warrant":2,"Calls":[]}""",
            """POST /v1/report -> 503 {"error":"a newer report came before this one"}""",
            """POST /v1/report -> 421 {"AnswerTo":"holt-b"}""",
            """POST /v1/report -> 503 {"error":"nobody may act for z at the moment"}""",
            """POST /v1/report -> 400 {"error":"Holt, Dive, Ripple or Warrant out of range"}""",
            """POST /v1/report -> 503 {"error":"holt-a has lost a"}""",
        )
        assertEquals(expected.joinToString("\n"), answers.joinToString("\n"))
    }

    @Test
    fun `workers are told commands so`() = onNode {
        start()
        val scope = CoroutineScope(currentCoroutineContext())
        scope.launch { ownership.keepStoreLease() }
        scope.launch { ownership.acquirePartitions() }
        delay(10_000)
        takeUp("a", 1)
        val over = Job("j-2").also {
            it.applyRecord(JobRecord(SPEC.copy(id = "j-2", tasks = 1, dependencies = null), SPANS))
        }
        partitions.getValue("a").updateJob(over, inherited = false)
        val head = """{"Holt":"m-1","Endpoint":"h:1","Breed":"g8","Reach":"a","Driftwood":true,"Dive":1,"""
        val running = """"Chores":[{"Chore":"j-2/0","Try":1,"Mood":"running"}]}"""
        val exited = """"Chores":[{"Chore":"j-2/0","Try":1,"Mood":"exited","Cause":"stopped","Saved":false}]}"""
        val before = router.ask("POST /v1/report", """$head"Ripple":1,"Warrant":1,$running""")
        over.applyRecord(JobRecord(terminalState = TerminalState.CANCELLED, taskCount = 1))
        partitions.getValue("a").updateJob(over, inherited = false)
        val answers = listOf(
            before,
            router.ask("POST /v1/report", """$head"Ripple":2,"Warrant":1,$running"""),
            router.ask("POST /v1/report", """$head"Ripple":3,"Warrant":1,$exited"""),
        )
        val halt = """{"Call":"halt","Chore":"j-2/0","Try":1,"LeewayS":0.0}"""
        val expected = listOf(
            """POST /v1/report -> 200 {"Warrant":1,"Calls":[]}""",
            """POST /v1/report -> 200 {"Warrant":1,"Calls":[$halt]}""",
            """POST /v1/report -> 200 {"Warrant":1,"Calls":[{"Call":"forget","Chore":"j-2/0","Try":1}]}""",
        )
        assertEquals(expected.joinToString("\n"), answers.joinToString("\n"))
    }

    @Suppress("LargeClass") // The tables of golden formats.
    companion object {
        private val SPANS = listOf(TaskSpan("a", 0, 1))

        private const val PROTOCOL_SUBMISSION =
            """{"Uid":"j-000412","Ilk":"train","Crew":"vision","Sort":"sweep","Rank":"high","Chores":16,
     "Cores":8.0,"Cards":1.0,"MemoryGb":64.0,"Pelt":"img-07","SizeGb":6.2,
     "Breeds":["g8"],"Reach":null,"SamePlace":true,"Scatter":false,"Driftwood":true,
     "GuessS":240.0,"CacheS":30.0,"StashS":4.0,"DueS":900.0}"""

        private const val PROTOCOL_REPORT =
            """{"Holt":"m-000231","Endpoint":"10.1.0.232:9000","Breed":"g8","Reach":"a","Driftwood":true,
     "Dive":1,"Ripple":88,"Warrant":41,"WarningS":null,
     "Chores":[{"Chore":"j-000412/3","Try":2,"Mood":"running"},
              {"Chore":"j-000398/0","Try":1,"Mood":"exited","Cause":"done"}]}"""

        private val REPORT = Heartbeat(
            machine = "m-000231", endpoint = "10.1.0.232:9000", type = "g8", zone = "a", spot = true, epoch = 1,
            sequence = 88, fencingToken = 41, spotNoticeS = null,
            tasks = listOf(
                TaskStatus(task = "j-000412/3", attempt = 2, state = TaskState.RUNNING, cause = null, saved = null),
                TaskStatus(
                    task = "j-000398/0",
                    attempt = 1,
                    state = TaskState.EXITED,
                    cause = ExitCause.DONE,
                    saved = null,
                ),
            ),
        )

        private val SPEC = JobSpec(
            id = "j-000412", jobClass = "train", team = "vision", priority = Priority.HIGH, tasks = 16, cores = 8.0,
            gpus = 1.0, memoryGb = 64.0, image = "img-07", imageGb = 6.2, types = listOf("g8"), zone = "a",
            sameZone = true, spreadAcrossZones = false, spot = true, estimateS = 240.0, checkpointS = 30.0, saveS = 4.0,
            dueS = 900.0, dependencies = listOf("j-7", "j-8"),
        )

        private const val SPEC_TEXT =
            """{"Uid":"j-000412","Ilk":"train","Crew":"vision","Rank":"high","Chores":16,"Cores":8.0,"Cards":1.0,""" +
                """"MemoryGb":64.0,"Pelt":"img-07","SizeGb":6.2,"Breeds":["g8"],"Reach":"a","SamePlace":true,""" +
                """"Scatter":false,"Driftwood":true,"GuessS":240.0,"CacheS":30.0,"StashS":4.0,"DueS":900.0,""" +
                """"Awaits":["j-7","j-8"]}"""

        private val TYPE = MachineType(
            name = "g8", cores = 96.0, gpus = 8.0, memoryGb = 768.0, cacheGb = 200.0, fetchGbPerS = 1.0, price = 12.0,
            spotPrice = 4.5, bootS = 45.0, zones = listOf("a", "b"),
        )

        private const val TYPES_TEXT =
            """{"Breeds":[{"Name":"g8","Cores":96.0,"Cards":8.0,"MemoryGb":768.0,"LocalGb":200.0,"PullGbPerS":1.0,""" +
                """"Rate":12.0,"SpotPrice":4.5,"ReadyS":45.0,"Reaches":["a","b"]}]}"""

        @JvmStatic
        @Suppress("LongMethod") // A table, one row a format.
        fun messages(): List<Text<*>> = listOf(
            Text(
                "report",
                Heartbeat.serializer(),
                REPORT,
                """{"Holt":"m-000231","Endpoint":"10.1.0.232:9000","Breed":"g8","Reach":"a","Driftwood":true,""" +
                    """"Dive":1,"Ripple":88,"Warrant":41,"Chores":[{"Chore":"j-000412/3","Try":2,"Mood":"running"},""" +
                    """{"Chore":"j-000398/0","Try":1,"Mood":"exited","Cause":"done"}]}""",
                PROTOCOL_REPORT,
            ),
            Text(
                "report with a notice, and all that may be left out left out",
                Heartbeat.serializer(),
                Heartbeat("m-1", "", "g8", "a", false, 2, 3, 0, 45.5, emptyList()),
                """{"Holt":"m-1","Endpoint":"","Breed":"g8","Reach":"a","Driftwood":false,"Dive":2,"Ripple":3,""" +
                    """"Warrant":0,"WarningS":45.5,"Chores":[]}""",
                """{"Holt":"m-1","Breed":"g8","Reach":"a","Dive":2,"Ripple":3,"WarningS":45.5,"Later":[1]}""",
            ),
            Text(
                "task that was stopped",
                TaskStatus.serializer(),
                TaskStatus("j-1/0", 3, TaskState.EXITED, ExitCause.STOPPED, true),
                """{"Chore":"j-1/0","Try":3,"Mood":"exited","Cause":"stopped","Saved":true}""",
            ),
            Text(
                "commands",
                HeartbeatResponse.serializer(),
                HeartbeatResponse(
                    fencingToken = 41,
                    commands = listOf(
                        HeartbeatCommand.start("j-000412/4", 2),
                        HeartbeatCommand.halt("j-000377/1", 1, 10.0),
                        HeartbeatCommand.forget("j-000398/0", 1),
                    ),
                ),
                """{"Warrant":41,"Calls":[{"Call":"start","Chore":"j-000412/4","Try":2},""" +
                    """{"Call":"halt","Chore":"j-000377/1","Try":1,"LeewayS":10.0},""" +
                    """{"Call":"forget","Chore":"j-000398/0","Try":1}]}""",
                """{"Warrant":41,"Calls":[
       {"Call":"start","Chore":"j-000412/4","Try":2},
       {"Call":"halt","Chore":"j-000377/1","Try":1,"LeewayS":10},
       {"Call":"forget","Chore":"j-000398/0","Try":1}]}""",
            ),
            Text("redirect", LeaderRedirect.serializer(), LeaderRedirect("holt-2"), """{"AnswerTo":"holt-2"}"""),
            Text("redirect to nobody", LeaderRedirect.serializer(), LeaderRedirect(), "{}", """{"AnswerTo":null}"""),
            Text("job", JobSpec.serializer(), SPEC, SPEC_TEXT),
            Text(
                "job with nothing that may be left out",
                JobSpec.serializer(),
                JobSpec(
                    "j-1", "k", "red", Priority.BEST_EFFORT, 1, 1.0, 0.0, 2.0, "i", 3.0, null, null, false, false,
                    false, 4.0, 0.0, 0.0, null, null,
                ),
                """{"Uid":"j-1","Ilk":"k","Crew":"red","Rank":"best_effort","Chores":1,"Cores":1.0,"Cards":0.0,""" +
                    """"MemoryGb":2.0,"Pelt":"i","SizeGb":3.0,"SamePlace":false,"Scatter":false,"Driftwood":false,""" +
                    """"GuessS":4.0,"CacheS":0.0,"StashS":0.0}""",
                """{"Uid":"j-1","Ilk":"k","Crew":"red","Rank":"best_effort","Chores":1,"Cores":1,"MemoryGb":2,""" +
                    """"Pelt":"i","SizeGb":3,"GuessS":4}""",
            ),
            Text(
                "state of a job",
                JobStatus.serializer(),
                JobStatus("j-000412", JobState.RUNNING, done = 3, running = 13),
                """{"Uid":"j-000412","Mood":"running","done":3,"running":13}""",
            ),
            Text(
                "state of a job without counts",
                JobStatus.serializer(),
                JobStatus("j-000412", JobState.QUEUED),
                """{"Uid":"j-000412","Mood":"queued"}""",
            ),
            Text("refusal", ErrorResponse.serializer(), ErrorResponse("why \"so\""), """{"error":"why \"so\""}"""),
            Text(
                "machine types",
                MachineTypes.serializer(),
                MachineTypes(listOf(TYPE)),
                TYPES_TEXT,
                """{"Breeds":[{"Name":"g8","Cores":96,"Cards":8,"MemoryGb":768,"LocalGb":200,"PullGbPerS":1.0,
      "Rate":12.0,"SpotPrice":4.5,"ReadyS":45,"Reaches":["a","b"]}]}""",
            ),
            Text(
                "machine type with its defaults",
                MachineType.serializer(),
                MachineType("c", 8.0, 0.0, 64.0, 0.0, 0.1, 0.0, 0.0, 60.0, emptyList()),
                """{"Name":"c","Cores":8.0,"Cards":0.0,"MemoryGb":64.0,"LocalGb":0.0,"PullGbPerS":0.1,"Rate":0.0,""" +
                    """"SpotPrice":0.0,"ReadyS":60.0,"Reaches":[]}""",
                """{"Name":"c","Cores":8,"MemoryGb":64}""",
            ),
            Text(
                "rental",
                ScaleOutRequest.serializer(),
                ScaleOutRequest(request = "r-17", type = "g8", zone = "a", spot = true, count = 12),
                """{"Bid":"r-17","Breed":"g8","Reach":"a","Driftwood":true,"Number":12}""",
            ),
            Text(
                "names of machines",
                MachineNames.serializer(),
                MachineNames(listOf("m-000231", "m-000232")),
                """{"Holts":["m-000231","m-000232"]}""",
            ),
            Text(
                "list of machines",
                MachineList.serializer(),
                MachineList(
                    listOf(
                        ListedMachine("m-000231", "10.1.0.232:9000", "g8", "a", true, ListedMachineState.RUNNING, 61.5),
                    ),
                    more = true,
                ),
                """{"Holts":[{"Uid":"m-000231","Endpoint":"10.1.0.232:9000","Breed":"g8","Reach":"a",""" +
                    """"Driftwood":true,"Mood":"running","HeldS":61.5}],"More":true}""",
            ),
            Text(
                "list of a machine without an address",
                MachineList.serializer(),
                MachineList(
                    listOf(ListedMachine("m-1", null, "g8", "a", false, ListedMachineState.BOOTING, 0.0)),
                    false,
                ),
                """{"Holts":[{"Uid":"m-1","Breed":"g8","Reach":"a","Driftwood":false,"Mood":"booting",""" +
                    """"HeldS":0.0}],"More":false}""",
                """{"Holts":[{"Uid":"m-1","Endpoint":null,"Breed":"g8","Reach":"a","Mood":"booting"}]}""",
            ),
            Text(
                "stored value",
                KeyValue.serializer(),
                KeyValue("a/b", JsonPrimitive(1), 412, 7),
                """{"Key":"a/b","V":1,"Mark":412,"Tenure":7}""",
            ),
            Text(
                "page of stored values",
                KeyValuePage.serializer(),
                KeyValuePage(listOf(KeyValue("a/b", JsonPrimitive(1), 412)), more = true, revision = 431),
                """{"Pairs":[{"Key":"a/b","V":1,"Mark":412}],"More":true,"Tide":431}""",
            ),
            Text(
                "transaction",
                TransactionRequest.serializer(),
                TransactionRequest(
                    conditions = listOf(VersionCondition("a/b", 0)),
                    changes = listOf(
                        KeyChange(put = "a/b", value = buildJsonObject { put("x", 1) }, lease = 7),
                        KeyChange(remove = "c/d"),
                    ),
                ),
                """{"Guards":[{"Key":"a/b","Mark":0}],"Then":[{"Put":"a/b","V":{"x":1},"Tenure":7},""" +
                    """{"Remove":"c/d"}]}""",
                """{"Guards":[{"Key":"a/b","Mark":0}],
     "Then":[{"Put":"a/b","V":{"x":1},"Tenure":7},""" +
                    """{"Remove":"c/d"}]}""",
            ),
            Text(
                "revision",
                RevisionResponse.serializer(),
                RevisionResponse(432),
                """{"Tide":432,"failed":[]}""",
                """{"Tide":432}""",
            ),
            Text(
                "conflict",
                RevisionResponse.serializer(),
                RevisionResponse(431, listOf("a/b")),
                """{"Tide":431,"failed":["a/b"]}""",
                """{"failed":["a/b"],"Tide":431}""",
            ),
            Text("request for a lease", LeaseRequest.serializer(), LeaseRequest(5_000), """{"TtlMs":5000}"""),
            Text("lease", LeaseGrant.serializer(), LeaseGrant(7), """{"Tenure":7}"""),
            Text(
                "events of a watch",
                WatchEvents.serializer(),
                WatchEvents(
                    revision = 433,
                    events = listOf(
                        KeyChange(put = "c/9", value = JsonPrimitive("x"), version = 433),
                        KeyChange(remove = "c/d", version = 432),
                    ),
                ),
                """{"Tide":433,"Log":[{"Put":"c/9","V":"x","Mark":433},{"Remove":"c/d","Mark":432}]}""",
            ),
            Text(
                "no events",
                WatchEvents.serializer(),
                WatchEvents(433),
                """{"Tide":433,"Log":[]}""",
                """{"Tide":433}""",
            ),
        )

        @JvmStatic
        @Suppress("LongMethod") // A table, one row a format.
        fun records(): List<Text<*>> = listOf(
            Text(
                "job",
                JobRecord.serializer(),
                JobRecord(
                    spec = SPEC,
                    spans = listOf(TaskSpan("a", 0, 10), TaskSpan("b", 10, 16)),
                    submittedMs = 1_700_000_000_000,
                    nonce = "1x2y",
                    terminalState = null,
                    taskCount = 0,
                    dependencySegments = 2,
                    endedMs = null,
                ),
                """{"s":$SPEC_TEXT,"a":[{"z":"a","f":0,"u":10},{"z":"b","f":10,"u":16}],"t":1700000000000,""" +
                    """"n":"1x2y","c":0,"w":2}""",
            ),
            Text(
                "job that is done",
                JobRecord.serializer(),
                JobRecord(terminalState = TerminalState.DONE, taskCount = 16, endedMs = 1_700_000_000_001),
                """{"a":[],"t":0,"x":"d","c":16,"e":1700000000001}""",
            ),
            Text(
                "job that is cancelled",
                JobRecord.serializer(),
                JobRecord(terminalState = TerminalState.CANCELLED, taskCount = 16),
                """{"a":[],"t":0,"x":"a","c":16}""",
                """{"x":"a","c":16}""",
            ),
            Text(
                "partition",
                LeaderRecord.serializer(),
                LeaderRecord(leader = "holt-0", incarnation = "3k"),
                """{"o":"holt-0","i":"3k"}""",
            ),
            Text(
                "mean",
                PartitionLoadRecord.serializer(),
                PartitionLoadRecord(
                    meanLoad = 0.5,
                    cores = 64.0,
                    ordinaryMeanLoad = 0.25,
                    ordinaryCores = 16.0,
                    quotaNeeds = mapOf("red" to QuotaAmount(cores = 3.0, gpus = 1.0)),
                    pressure = null,
                ),
                """{"m":0.5,"c":64.0,"om":0.25,"oc":16.0,"n":{"red":{"c":3.0,"g":1.0}}}""",
            ),
            Text(
                "mean with pressure",
                PartitionLoadRecord.serializer(),
                PartitionLoadRecord(
                    meanLoad = 0.5,
                    cores = 64.0,
                    ordinaryMeanLoad = 0.25,
                    ordinaryCores = 16.0,
                    quotaNeeds = emptyMap(),
                    pressure = PressureRecord(
                        teams = mapOf(
                            "red" to TeamPressureRecord(
                                cores = 1.0,
                                memoryGb = 2.0,
                                gpus = 3.0,
                                waitingCores = 4.0,
                                oldestReadyMs = 5,
                            ),
                        ),
                        memoryGb = 6.0,
                        gpus = 7.0,
                        meanRunS = 8.0,
                        images = listOf("img-07"),
                        fetchFactor = 9.0,
                    ),
                ),
                """{"m":0.5,"c":64.0,"om":0.25,"oc":16.0,"n":{},"l":{"t":{"red":{"c":1.0,"m":2.0,"g":3.0,"w":4.0,""" +
                    """"o":5}},"m":6.0,"g":7.0,"r":8.0,"i":["img-07"],"f":9.0}}""",
            ),
            Text(
                "mean of one that has nothing",
                PartitionLoadRecord.serializer(),
                PartitionLoadRecord(
                    0.5,
                    0.0,
                    0.0,
                    0.0,
                    emptyMap(),
                    PressureRecord(mapOf("red" to TeamPressureRecord()), 0.0, 0.0, null, emptyList(), 1.0),
                ),
                """{"m":0.5,"c":0.0,"om":0.0,"oc":0.0,"n":{},"l":{"t":{"red":{"c":0.0,"m":0.0,"g":0.0,"w":0.0}},""" +
                    """"m":0.0,"g":0.0,"i":[],"f":1.0}}""",
                """{"m":0.5,"l":{"t":{"red":{}}}}""",
            ),
            Text(
                "allotment",
                QuotaSharesRecord.serializer(),
                QuotaSharesRecord(mapOf("a" to QuotaAmount(4.0, 1.0), "b" to QuotaAmount(8.0, 0.0))),
                """{"z":{"a":{"c":4.0,"g":1.0},"b":{"c":8.0,"g":0.0}}}""",
                """{"z":{"a":{"c":4,"g":1},"b":{"c":8}}}""",
            ),
            Text(
                "allotment before anything has been moved",
                QuotaSharesRecord.serializer(),
                QuotaSharesRecord.even(listOf("a", "b"), 9.0, 0.0),
                """{"z":{"a":{"c":4.5,"g":1.0E12},"b":{"c":4.5,"g":1.0E12}}}""",
            ),
            Text(
                "machines",
                MachineSegmentRecord.serializer(),
                MachineSegmentRecord(mapOf("m-000001" to "big")),
                """{"m":{"m-000001":"big"}}""",
            ),
            Text("machine types", MachineTypes.serializer(), MachineTypes(listOf(TYPE)), TYPES_TEXT),
            Text(
                "awaited jobs",
                DependencySegmentRecord.serializer(),
                DependencySegmentRecord.of(listOf("j-000007", "j-8")),
                """{"i":"000007 8"}""",
            ),
            Text(
                "completed tasks",
                CompletionSegmentRecord.serializer(),
                CompletionSegmentRecord(mapOf("j-000412" to "Aw")),
                """{"d":{"j-000412":"Aw"}}""",
            ),
            Text(
                "completed tasks in small chunks",
                CompletionSegmentRecord.serializer(),
                CompletionSegmentRecord(mapOf("j-1" to "Aw"), mapOf("j-2.3" to "AQ")),
                """{"d":{"j-1":"Aw"},"f":{"j-2.3":"AQ"}}""",
            ),
        )

        private fun <E> named(serializer: KSerializer<E>, vararg entries: Pair<E, String>): List<Text<E>> =
            entries.map { (entry, name) -> Text("$entry $name", serializer, entry, "\"$name\"") }

        @JvmStatic
        @Suppress("LongMethod") // A table, one row a format.
        fun names(): List<Text<*>> = listOf(
            named(
                Priority.serializer(),
                Priority.PRODUCTION to "prod",
                Priority.HIGH to "high",
                Priority.NORMAL to "normal",
                Priority.BEST_EFFORT to "best_effort",
            ),
            named(TerminalState.serializer(), TerminalState.DONE to "d", TerminalState.CANCELLED to "a"),
            named(MoveKind.serializer(), MoveKind.REASSIGNMENT to "handover", MoveKind.STOP to "stop"),
            named(
                MoveState.serializer(),
                MoveState.PROPOSED to "proposed",
                MoveState.STOPPING to "stopping",
                MoveState.STOPPED to "stopped",
                MoveState.PLACED to "placed",
                MoveState.ABANDONED to "abandoned",
            ),
            named(
                MoveReason.serializer(),
                MoveReason.SHORTER_WAIT to "shorter wait",
                MoveReason.OVERDUE to "overdue",
                MoveReason.GUARANTEE to "guarantee",
                MoveReason.DRAIN to "drain",
            ),
            named(
                MoveOutcome.serializer(),
                MoveOutcome.COMPLETED_FIRST to "the task completed first",
                MoveOutcome.JOB_FINISHED to "the job is over",
                MoveOutcome.LEADERSHIP_LOST to "the partition has another owner",
                MoveOutcome.MACHINE_LOST to "its machine was lost",
                MoveOutcome.TASK_GONE to "the task is not where it was",
                MoveOutcome.NOT_REASSIGNED to "the handover was not carried out",
                MoveOutcome.NOT_PLACED to "not placed anew for long",
            ),
            named(
                RefusalReason.serializer(), RefusalReason.BOUND_TO_ZONE to "bound to its zone",
                RefusalReason.PARTLY_PLACED to "in one zone, and some of it runs",
                RefusalReason.NO_TARGET to "no other partition",
                RefusalReason.GAIN_TOO_SMALL to "gain below the margin",
                RefusalReason.JUST_ARRIVED to "came from elsewhere a moment ago",
                RefusalReason.TOO_MANY_MOVES to "enough moves under way",
                RefusalReason.WAIT_TOO_SHORT to "has not waited long enough",
                RefusalReason.CAPACITY_EXPECTED_SOON to "room comes by itself",
                RefusalReason.NO_STOPPABLE_TASKS to "nothing that may be stopped makes room",
                RefusalReason.LOST_WORK_BUDGET_EXHAUSTED to "lost work beyond the budget",
                RefusalReason.COMPLETES_SOON to "ends soon where it is",
                RefusalReason.COOLDOWN to "was stopped a while ago",
            ),
            named(
                PlanningPauseReason.serializer(),
                PlanningPauseReason.NOT_LEADER to "not its owner now",
                PlanningPauseReason.UNRECONCILED to "in doubt after a claim",
                PlanningPauseReason.STORE_UNAVAILABLE to "the state service does not answer",
                PlanningPauseReason.CONTROLLER_OVERLOADED to "this controller is short of processor",
            ),
            named(
                WaitCause.serializer(), WaitCause.UNRECONCILED to "doubt", WaitCause.REASSIGNMENT to "handover",
                WaitCause.QUOTA_LIMIT to "limit", WaitCause.RETRY_BACKOFF to "retry",
                WaitCause.CAPACITY_RESERVED to "held room",
                WaitCause.CAPACITY_ELSEWHERE to "room elsewhere",
                WaitCause.TEAMS_ABOVE_FAIR_SHARE to "other teams above their share", WaitCause.NO_CAPACITY to "no room",
                WaitCause.AWAITING_HEARTBEAT to "report", WaitCause.IMAGE_FETCH to "image",
            ),
        ).flatten()

        private const val HANDOVER_TEXT =
            """{"type":"move","zone":"a","team":"red","job":"j-000001","kind":"handover","state":"placed",""" +
                """"reason":"shorter wait","gainS":4.0,"tasks":7,"target":"b","lostCoreS":0.0,"planned":true}"""

        private const val STOP_TEXT =
            """{"type":"move","zone":"a","team":"red","job":"j-000002","kind":"stop","state":"abandoned",""" +
                """"reason":"guarantee","gainS":9.0,"tasks":1,"target":"m-000007","beneficiary":"j-000003",""" +
                """"lostCoreS":12.5,"outcome":"the task completed first","tookMs":1500,"planned":false}"""

        private const val SUMMARY_TEXT =
            """{"type":"summary","zone":"a","seconds":30.0,"refused":{"blue":{"has not waited long enough":3}},""" +
                """"paused":{"the state service does not answer":2},""" +
                """"waits":{"blue":{"other teams above their share":41.6}}}"""

        @JvmStatic
        fun moveEvents(): List<Text<*>> = listOf(
            Text(
                "handover",
                MoveEvent.serializer(),
                MoveEvent.Ended(
                    zone = "a", team = "red", job = "j-000001", kind = MoveKind.REASSIGNMENT, state = MoveState.PLACED,
                    reason = MoveReason.SHORTER_WAIT, gainS = 4.0, tasks = 7, target = "b", beneficiary = null,
                    lostCoreS = 0.0, outcome = null, tookMs = null, planned = true,
                ),
                HANDOVER_TEXT,
            ),
            Text(
                "stop",
                MoveEvent.serializer(),
                MoveEvent.Ended(
                    zone = "a", team = "red", job = "j-000002", kind = MoveKind.STOP, state = MoveState.ABANDONED,
                    reason = MoveReason.GUARANTEE, gainS = 9.0, tasks = 1, target = "m-000007",
                    beneficiary = "j-000003", lostCoreS = 12.5, outcome = MoveOutcome.COMPLETED_FIRST,
                    tookMs = 1_500, planned = false,
                ),
                STOP_TEXT,
            ),
            Text(
                "summary",
                MoveEvent.serializer(),
                MoveEvent.Summary(
                    zone = "a",
                    seconds = 30.0,
                    refused = mapOf("blue" to mapOf(RefusalReason.WAIT_TOO_SHORT to 3)),
                    paused = mapOf(PlanningPauseReason.STORE_UNAVAILABLE to 2),
                    waits = mapOf("blue" to mapOf(WaitCause.TEAMS_ABOVE_FAIR_SHARE to 41.6)),
                ),
                SUMMARY_TEXT,
            ),
            Text(
                "empty summary",
                MoveEvent.serializer(),
                MoveEvent.Summary("a", 30.0),
                """{"type":"summary","zone":"a","seconds":30.0,"refused":{},"paused":{},"waits":{}}""",
                """{"type":"summary","zone":"a","seconds":30.0}""",
            ),
        )

        @JvmStatic
        @Suppress("LongMethod") // A table, one row a format.
        fun texts(): List<Exact> = listOf(
            Exact("root of all keys", "o/") { StoreKeys.ROOT },
            Exact("keys of jobs", "o/j/") { StoreKeys.JOBS },
            Exact("keys of completions", "o/d/") { StoreKeys.COMPLETIONS },
            Exact("keys of partitions", "o/p/") { StoreKeys.PARTITIONS },
            Exact("keys of machines", "o/m/") { StoreKeys.MACHINES },
            Exact("keys of means", "o/s/") { StoreKeys.PARTITION_LOADS },
            Exact("keys of allotments", "o/q/") { StoreKeys.QUOTA_SHARES },
            Exact("keys of overrides", "o/x/") { StoreKeys.TAKEOVERS },
            Exact("keys of awaited jobs", "o/w/") { StoreKeys.DEPENDENCIES },
            Exact("key of machine types", "o/t") { StoreKeys.MACHINE_TYPES },
            Exact("key of a job", "o/j/j-000412") { StoreKeys.job("j-000412") },
            Exact("key of completions", "o/d/a/7-0") { StoreKeys.completionSegment("a", "7-0") },
            Exact("key of a partition", "o/p/a") { StoreKeys.partition("a") },
            Exact("keys of a zone's machines", "o/m/a/") { StoreKeys.machineSegments("a") },
            Exact("key of a zone's machines", "o/m/a/3") { StoreKeys.machineSegment("a", 3) },
            Exact("key of awaited jobs", "o/w/j-000412/2") { StoreKeys.dependencySegment("j-000412", 2) },
            Exact("key of an override", "o/x/a") { StoreKeys.takeoverMarker("a") },
            Exact("key of a mean", "o/s/a") { StoreKeys.partitionLoad("a") },
            Exact("key of an allotment", "o/q/red") { StoreKeys.quotaShares("red") },
            Exact("name of a chunk", "j-7.3") { TaskBitmaps.chunkName("j-7", 3) },
            Exact("name of the first chunk", "j-7") { TaskBitmaps.chunkName("j-7", 0) },
            Exact("sizes of chunks", "16384 4096 4096 16384") {
                "${TaskBitmaps.CHUNK_TASKS} ${TaskBitmaps.FINE_CHUNK_TASKS} ${TaskBitmaps.chunkSize(
                    4_097,
                )} ${TaskBitmaps.chunkSize(4_096)}"
            },
            Exact("name of a task", "j-000412/3") { TaskName("j-000412", 3).toString() },
            Exact("parts of a task's name", "j-000412 3") {
                TaskName.parse("j-000412/3").let { "${it.job} ${it.number}" }
            },
            Exact("priorities", "prod=PRODUCTION high=HIGH normal=NORMAL best_effort=BEST_EFFORT") {
                Priority.byWire.entries.joinToString(" ")
            },
            Exact("states of tasks", "fetching running saving exited") {
                listOf(TaskState.FETCHING, TaskState.RUNNING, TaskState.SAVING, TaskState.EXITED)
                    .joinToString(" ") { it.wireName }
            },
            Exact("all states of tasks", "exited fetching running saving") {
                (TaskState.entries - TaskState.UNRECOGNIZED).map { it.wireName }.sorted().joinToString(" ")
            },
            Exact("causes of an exit", "done error") {
                "${ExitCause.DONE.wireName} ${ExitCause.ERROR.wireName}"
            },
            Exact("mark of a line in the log", "load-spread ") { MoveJournal.MARK },
            Exact("line in the log", "load-spread $HANDOVER_TEXT") {
                MoveJournal.MARK + MoveJournal.encode(
                    MoveEvent.Ended(
                        "a", "red", "j-000001", MoveKind.REASSIGNMENT, MoveState.PLACED, MoveReason.SHORTER_WAIT,
                        4.0, 7,
                        "b", planned = true,
                    ),
                )
            },
            Exact("line in the log of what is left out", "load-spread $SUMMARY_TEXT") {
                MoveJournal.MARK + MoveJournal.encode(
                    MoveEvent.Summary(
                        "a",
                        30.0,
                        mapOf("blue" to mapOf(RefusalReason.WAIT_TOO_SHORT to 3)),
                        mapOf(PlanningPauseReason.STORE_UNAVAILABLE to 2),
                        mapOf("blue" to mapOf(WaitCause.TEAMS_ABOVE_FAIR_SHARE to 41.6)),
                    ),
                )
            },
        )

        @JvmStatic
        fun badSubmissions(): List<Bad> = listOf(
            Bad("{", "not JSON"),
            Bad("[]", "not a JSON object"),
            Bad("{}", "Uid is missing"),
            Bad("""{"Uid":7}""", "Uid is not a string"),
            Bad("""{"Uid":""}""", "Uid is empty or too long"),
            Bad("""{"Uid":"x-1"}""", "Uid is not of the form j-000412"),
            Bad("""{"Uid":"j-1","Sort":"gang"}""", "Sort is unknown"),
            Bad(changed("\"Rank\":\"high\"", "\"Rank\":\"urgent\""), "Rank is unknown"),
            Bad(changed("\"Chores\":16", "\"Chores\":2.5"), "Chores is not an integer"),
            Bad(changed("\"Chores\":16", "\"Chores\":100001"), "Chores is not between 1 and 100000"),
            Bad(changed("\"Cores\":8.0", "\"Cores\":\"8\""), "Cores is not a number"),
            Bad(changed("\"Cards\":1.0", "\"Cards\":-1"), "Cards is negative or not finite"),
            Bad(changed("\"MemoryGb\":64.0", "\"MemoryGb\":null"), "MemoryGb is missing"),
            Bad(changed("\"Pelt\":\"img-07\"", "\"Pelt\":7"), "Pelt is not a string"),
            Bad(changed("\"Breeds\":[\"g8\"]", "\"Breeds\":7"), "Breeds is not a list"),
            Bad(changed("\"SamePlace\":true", "\"SamePlace\":1"), "SamePlace is not true or false"),
            Bad(changed("900.0", "9,\"Awaits\":[\"x\"]"), "Awaits names x, which is not of the form j-000412"),
        )

        private fun changed(from: String, to: String): String {
            check(from in PROTOCOL_SUBMISSION)
            return PROTOCOL_SUBMISSION.replace(from, to)
        }

        @JvmStatic
        fun badReports(): List<Bad> {
            val task = """{"Holt":"m","Breed":"g","Reach":"a","Dive":1,"Ripple":1,"Chores":[{"Chore":"""
            return listOf(
                Bad("""{"Holt":"m","Breed":"g","Reach":"a","Dive":0,"Ripple":1}""", OUT_OF_RANGE),
                Bad(task + """"j-1","Try":1,"Mood":"running"}]}""", "Chore is not a task"),
                Bad(task + """"j-1/0","Try":1,"Mood":"flying"}]}""", "Mood of a task is unknown"),
                Bad(
                    """{"Holt":"m","Reach":"a","Dive":1,"Ripple":1}""",
                    "not a report: Field 'Breed' is required for type with serial name " +
                        "'io.otterknot.wire.Report', but it was missing at path: $",
                ),
            )
        }

        private const val OUT_OF_RANGE = "Holt, Dive, Ripple or Warrant out of range"

        @JvmStatic
        fun frames(): List<Frame> = listOf(
            Frame("ask", PeerMessage.IdlePartitionQuery, "0000000101"),
            Frame(
                "announce",
                PeerMessage.IdlePartitionAnnouncement("a", 7, 3),
                "0000001002000161000000000000000700000003",
            ),
            Frame("withdraw", PeerMessage.IdleAnnouncementWithdrawn("ł", 258), "0000000d030002c5820000000000000102"),
            Frame("known", PeerMessage.IdlePartitionCount(2, true), "00000006040000000201"),
            Frame("known, not sound", PeerMessage.IdlePartitionCount(0, false), "00000006040000000000"),
            Frame(
                "carry",
                PeerMessage.RelayRequest("POST", "/txn", "{}".encodeToByteArray(), 2_500),
                "00000017" + "05" + "0004504f5354" + "00042f74786e" + "000009c4" + "00000002" + "7b7d",
            ),
            Frame(
                "carry without a body",
                PeerMessage.RelayRequest("GET", "/s", null, 1),
                "00000012" + "05" + "0003474554" + "00022f73" + "00000001" + "ffffffff",
            ),
            Frame(
                "carried",
                PeerMessage.RelayResponse(409, "[]".encodeToByteArray()),
                "0000000b" + "06" + "00000199" + "00000002" + "5b5d",
            ),
            Frame(
                "carried in vain",
                PeerMessage.RelayResponse(0, ByteArray(0)),
                "00000009" + "06" + "00000000" + "00000000",
            ),
            Frame("yield", PeerMessage.TransferLeadership("a", 2), "000000080700016100000002"),
            Frame("unknown", PeerMessage.Unknown(9), "0000000109"),
        )

        private const val LEAST_SETTINGS_TEXT = """
label = "holt-0"
domain = "a"
bind = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"

[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"

[facts]
nodes = 1
zones = ["a"]

[facts.workers]
report_s = 0.8
lease_s = 10.0
cancel_s = 35.0

[facts.state]
rps = 600.0
write_rps = 200.0
value_kb = 8.0
txn_ops = 40

[facts.cloud]
rps = 10.0
list_lag_s = 3.0
"""

        private const val SETTINGS_TEXT = """
label = "holt-0"
domain = "a"
bind = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
later = "ignored"

[[members]]
label = "holt-1"
domain = "b"
endpoint = "127.0.0.1:8082"

[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"

[facts]
nodes = 2
zones = ["a", "b"]
clock_error_ms = 250.5

[[facts.teams]]
name = "red"
cpus = 1.5
cpus_max = 2.5
gpus = 3.5
gpus_max = 4.5

[[facts.objectives]]
kind = "wait"
class = "k"
within_s = 8.5
share = 0.9
times = 1.25

[facts.workers]
report_s = 0.8
lease_s = 10.5
cancel_s = 35.5

[facts.state]
rps = 600.5
write_rps = 200.5
value_kb = 8.5
txn_ops = 40

[facts.state.next]
rps = 500.5
write_rps = 100.5
value_kb = 4.5
txn_ops = 20

[facts.cloud]
rps = 10.5
list_lag_s = 3.5

[facts.machine_limits]
fd_limit = 256
"""

        private val SETTINGS = Settings(
            label = "holt-0",
            domain = "a",
            bind = "127.0.0.1:8080",
            peerListen = "127.0.0.1:8081",
            members = listOf(Member(label = "holt-1", domain = "b", endpoint = "127.0.0.1:8082")),
            endpoints = Endpoints(cloud = "127.0.0.1:1", state = "127.0.0.1:2"),
            facts = SiteSettings(
                nodes = 2, zones = listOf("a", "b"), clockErrorMs = 250.5,
                teams = listOf(TeamSettings(name = "red", cpus = 1.5, cpusMax = 2.5, gpus = 3.5, gpusMax = 4.5)),
                objectives = listOf(
                    ObjectiveSettings(kind = "wait", jobClass = "k", withinS = 8.5, share = 0.9, times = 1.25),
                ),
                workers = WorkerSettings(heartbeatS = 0.8, leaseS = 10.5, cancelS = 35.5),
                state = StoreSettings(
                    rps = 600.5,
                    writeRps = 200.5,
                    valueKb = 8.5,
                    txnOps = 40,
                    next = AnnouncedStoreLimits(rps = 500.5, writeRps = 100.5, valueKb = 4.5, txnOps = 20),
                ),
                cloud = CloudSettings(rps = 10.5, listLagS = 3.5),
                machineLimits = MachineLimits(fdLimit = 256),
            ),
        )

        @JvmStatic
        fun badSettings(): List<BadSetting> = badAddresses() + badNumbers() + missingSettings()

        private fun badAddresses(): List<BadSetting> = listOf(
            BadSetting("label = \"holt-0\"", "label = \" \"", "label is \" \", but must be a name that is not blank"),
            BadSetting(
                "127.0.0.1:8080",
                "nowhere",
                "bind is \"nowhere\", but must be HOST:PORT with a port from 0 to 65535",
            ),
            BadSetting(
                "127.0.0.1:8081",
                "host:65536",
                "peer_listen is \"host:65536\", but must be HOST:PORT with a port from 0 to 65535",
            ),
            BadSetting(
                "127.0.0.1:1",
                ":1",
                "endpoints.cloud is \":1\", but must be HOST:PORT with a port from 0 to 65535",
            ),
            BadSetting(
                "127.0.0.1:2",
                "x:y",
                "endpoints.state is \"x:y\", but must be HOST:PORT with a port from 0 to 65535",
            ),
            BadSetting(
                "[endpoints]",
                member("holt-1", "x"),
                "members.endpoint of holt-1 is \"x\", but must be HOST:PORT with a port from 0 to 65535",
            ),
            BadSetting(
                "[endpoints]",
                member("holt-0", "h:1"),
                "members.label is \"holt-0\", but must be the label of another controller, not of this one",
            ),
        )

        private fun badNumbers(): List<BadSetting> = listOf(
            BadSetting("zones = [\"a\"]", "zones = []", "facts.zones is [], but must be a list of at least one zone"),
            BadSetting("nodes = 1", "nodes = 0", "facts.nodes is 0, but must be at least 1"),
            BadSetting("report_s = 0.8", "report_s = 0.0", "facts.workers.report_s is 0.0, but must be above 0"),
            BadSetting(
                "cancel_s = 35.0",
                "cancel_s = 14.0",
                "facts.workers.cancel_s is 14.0, but must be above facts.workers.lease_s + 4, which is " +
                    "14.0, to leave time for a failover",
            ),
            BadSetting("write_rps = 200.0", "write_rps = 0.0", "facts.state.write_rps is 0.0, but must be above 0"),
            BadSetting("txn_ops = 40", "txn_ops = 3", "facts.state.txn_ops is 3, but must be at least 4"),
            BadSetting("value_kb = 8.0", "value_kb = 0.5", "facts.state.value_kb is 0.5, but must be at least 1.0"),
            BadSetting("rps = 10.0", "rps = 0.0", "facts.cloud.rps is 0.0, but must be above 0"),
            BadSetting("lease_s = 10.0", "lease_s = -1.0", "facts.workers.lease_s is -1.0, but must be above 0"),
            BadSetting(
                "[facts.cloud]",
                "[facts.state.next]\ntxn_ops = 3\n[facts.cloud]",
                "facts.state.next.txn_ops is 3, but must be at least 4",
            ),
        )

        private fun missingSettings(): List<BadSetting> = listOf(
            BadSetting("domain = \"a\"", "", "domain is missing, but is required"),
            BadSetting("lease_s = 10.0", "", "facts.workers.lease_s is missing, but is required"),
            BadSetting("[facts.workers]", "[facts.other]", "facts.workers is missing, but is required"),
        )

        private fun member(label: String, endpoint: String) =
            "[[members]]\nlabel = \"$label\"\ndomain = \"b\"\nendpoint = \"$endpoint\"\n\n[endpoints]"

        private const val OPERATORS_TEXT = """; all of it
(load-spread :mode observe :hand-overs false :guarantees false :drains false :any-priority true
  :plan-every-s 1.5 :margin-s 2.5 :hand-over-delay-s 3.5 :fetch-weight 4.5 :lost-work-weight 5.5
  :return-after-s 6.5 :task-cooldown-s 7.5 :patience-s 8.5 :least-remaining-s 9.5 :hand-overs-per-plan 10
  :partition-stop-share 0.11 :team-stop-share 0.12 :job-stop-share 0.13 :lost-work-share 0.14
  :examined-jobs 15 :sampled-machines 16)
"""

        private val ALL_LOAD_SPREAD = LoadSpreadSettings(
            mode = LoadSpreadMode.OBSERVE, reassignsTasks = false, guarantees = false, drains = false,
            anyPriority = true,
            planEveryS = 1.5, marginS = 2.5, reassignmentDelayS = 3.5, fetchWeight = 4.5, lostWorkWeight = 5.5,
            returnAfterS = 6.5, taskCooldownS = 7.5, patienceS = 8.5, leastRemainingS = 9.5, reassignmentsPerPlan = 10,
            partitionStopShare = 0.11, teamStopShare = 0.12, jobStopShare = 0.13, lostWorkShare = 0.14,
            examinedJobs = 15, sampledMachines = 16,
        )

        private val DEFAULT_LOAD_SPREAD = LoadSpreadSettings(
            mode = LoadSpreadMode.OFF, reassignsTasks = true, guarantees = true, drains = true, anyPriority = false,
            planEveryS = 1.0, marginS = 3.0, reassignmentDelayS = 2.0, fetchWeight = 1.0, lostWorkWeight = 1.5,
            returnAfterS = 30.0, taskCooldownS = 120.0, patienceS = 1.5, leastRemainingS = 4.0,
            reassignmentsPerPlan = 3,
            partitionStopShare = 0.05, teamStopShare = 0.1, jobStopShare = 0.25, lostWorkShare = 0.05,
            examinedJobs = 64, sampledMachines = 128,
        )

        @JvmStatic
        fun badOperators(): List<Bad> = listOf(
            Bad("(load-spread :mode on)", "load-spread: :mode is on, not one of off, observe, act"),
            Bad(
                "(load-spread :colour 1)",
                "load-spread: unknown setting :colour, not one of :mode, :hand-overs, :guarantees, :drains, " +
                    ":any-priority, :plan-every-s, :margin-s, :hand-over-delay-s, :fetch-weight, " +
                    ":lost-work-weight, :return-after-s, :task-cooldown-s, :patience-s, :least-remaining-s, " +
                    ":hand-overs-per-plan, :partition-stop-share, :team-stop-share, :job-stop-share, " +
                    ":lost-work-share, :examined-jobs, :sampled-machines",
            ),
            Bad("(load-shed :mode act)", "unknown section load-shed, not one of load-spread"),
            Bad("(load-spread :margin-s -1)", "load-spread: :margin-s is -1, not a number from 0.0 to 3600.0"),
            Bad("(load-spread :plan-every-s 0.1)", "load-spread: :plan-every-s is 0.1, not a number from 0.2 to 60.0"),
            Bad("(load-spread :fetch-weight 101)", "load-spread: :fetch-weight is 101, not a number from 0.0 to 100.0"),
            Bad("(load-spread :job-stop-share 2)", "load-spread: :job-stop-share is 2, not a number from 0.0 to 1.0"),
            Bad(
                "(load-spread :examined-jobs 0)",
                "load-spread: :examined-jobs is 0, not a whole number from 1 to 100000",
            ),
            Bad("(load-spread :drains 1)", "load-spread: :drains is 1, not true or false"),
            Bad(
                "(load-spread :mode)",
                "load-spread: :mode has no value; a section is written like (load-spread :mode off)",
            ),
            Bad(
                "(load-spread :mode off :mode act)",
                "load-spread: :mode is set twice, to off and act, but is allowed once",
            ),
            Bad(
                "(load-spread mode act)",
                "load-spread: mode is not the name of a setting, which begins with a colon",
            ),
            Bad("(load-spread) (load-spread)", "section load-spread occurs 2 times, but is allowed once"),
            Bad("load-spread", "load-spread is not a section; a section is written like (load-spread :mode off)"),
            Bad("()", "section () has no name; a section is written like (load-spread :mode off)"),
        )

        private val MOVES_LOG = listOf(
            "INFO Ownership - owner of a",
            "INFO MoveJournal - load-spread $HANDOVER_TEXT",
            "INFO MoveJournal - load-spread $STOP_TEXT",
            "INFO MoveJournal - load-spread $SUMMARY_TEXT",
            "INFO MoveJournal - load-spread {\"type\":\"later\"}",
        )

        @JvmStatic
        @Suppress("LongMethod") // A table, one row a format.
        fun moves(): List<Moves> = listOf(
            Moves(
                "as text",
                emptyList(),
                MOVES_LOG,
                """
                team blue
                  left where it was 3 times: has not waited long enough
                  waited 42 task-seconds: other teams above their share
                team red
                  1 times a handover for shorter wait: planned only, 7 tasks
                  1 times a stop for guarantee: abandoned (the task completed first), 1 tasks, 13 core-seconds lost
                no plan was made 2 times: the state service does not answer
                1 lines could not be read; are they of a newer version?
                """.trimIndent(),
            ),
            Moves(
                "of nothing",
                emptyList(),
                emptyList(),
                "The log says nothing of load spread. Is it off, or LOG_LEVEL below info?",
            ),
            Moves(
                "as JSON",
                listOf("--json"),
                MOVES_LOG,
                """
                {
                    "events": 3,
                    "unreadable": 1,
                    "teams": [
                        {
                            "team": "blue",
                            "moves": [],
                            "refused": {
                                "has not waited long enough": 3
                            },
                            "waits": {
                                "other teams above their share": 41.6
                            }
                        },
                        {
                            "team": "red",
                            "moves": [
                                {
                                    "kind": "handover",
                                    "reason": "shorter wait",
                                    "state": "placed",
                                    "outcome": null,
                                    "planned": true,
                                    "moves": 1,
                                    "tasks": 7,
                                    "lostCoreS": 0.0
                                },
                                {
                                    "kind": "stop",
                                    "reason": "guarantee",
                                    "state": "abandoned",
                                    "outcome": "the task completed first",
                                    "planned": false,
                                    "moves": 1,
                                    "tasks": 1,
                                    "lostCoreS": 12.5
                                }
                            ],
                            "refused": {},
                            "waits": {}
                        }
                    ],
                    "paused": {
                        "the state service does not answer": 2
                    }
                }
                """.trimIndent(),
            ),
            Moves(
                "of one team as JSON",
                listOf("--json", "--team", "green"),
                MOVES_LOG,
                """
                {
                    "events": 3,
                    "unreadable": 1,
                    "teams": [],
                    "paused": {
                        "the state service does not answer": 2
                    }
                }
                """.trimIndent(),
            ),
        )
    }
}
