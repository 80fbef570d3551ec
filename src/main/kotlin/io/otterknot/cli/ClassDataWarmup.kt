package io.otterknot.cli

import io.otterknot.config.OperatorSettingsFile
import io.otterknot.config.SettingsFile
import io.otterknot.http.HttpClient
import io.otterknot.http.HttpResponse
import io.otterknot.http.HttpServer
import io.otterknot.metrics.Metrics
import io.otterknot.net.HostPort
import io.otterknot.wire.MAX_BODY_BYTES
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.nio.file.Files
import java.nio.file.Path
import java.util.jar.JarFile
import kotlin.random.Random

/**
 * A short run on loopback against answers that never change, so that the classes of an ordinary start are loaded and
 * can be archived. What it answers is of no importance.
 */
internal object ClassDataWarmup {
    private const val OWN_CLASSES = "io/otterknot/"
    private const val CLASS_FILE = ".class"
    private const val SETTINGS = """
label = "holt-0"
domain = "a"
bind = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"

[[members]]
label = "holt-1"
domain = "b"
endpoint = "127.0.0.1:1"

[endpoints]
cloud = "127.0.0.1:PORT"
state = "127.0.0.1:PORT"

[facts]
nodes = 1
zones = ["a"]
clock_error_ms = 250.0

[[facts.teams]]
name = "t"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[facts.objectives]]
kind = "wait"
class = "c"
within_s = 8.0
share = 0.93

[facts.workers]
report_s = 0.2
lease_s = 10.0
cancel_s = 35.0

[facts.state]
rps = 1000.0
write_rps = 1000.0
value_kb = 8.0
txn_ops = 40

[facts.cloud]
rps = 100.0
list_lag_s = 4.0
"""
    private const val JOB = """{"Uid":"j-000001","Ilk":"c","Crew":"t","Sort":"sweep","Rank":"high","Chores":2,""" +
        """"Cores":1.0,"Cards":0.0,"MemoryGb":1.0,"Pelt":"i","SizeGb":1.0,"Breeds":null,"Reach":null,""" +
        """"SamePlace":false,"Scatter":false,"Driftwood":true,""" +
        """"GuessS":1.0,"CacheS":0.0,"StashS":0.0,"DueS":null}"""

    fun run(): Int {
        loadOwnClasses()
        return play()
    }

    /** The run below does not reach every class; what it leaves out would be read from the jar when it is needed. */
    private fun loadOwnClasses() {
        val source = Path.of(ClassDataWarmup::class.java.protectionDomain.codeSource.location.toURI())
        if (!Files.isRegularFile(source)) return
        JarFile(source.toFile()).use { jar ->
            jar.stream().map { it.name }.filter { it.startsWith(OWN_CLASSES) && it.endsWith(CLASS_FILE) }
                .forEach { Class.forName(it.removeSuffix(CLASS_FILE).replace('/', '.'), false, javaClass.classLoader) }
        }
    }

    private fun play(): Int = onLoop { loop ->
        val stub = HttpServer(loop, 32, MAX_BODY_BYTES) { answer(it.path, it.body.decodeToString()) }
        val listener = stub.bind(HostPort("127.0.0.1", 0))
        val port = listener.port
        val own = java.net.ServerSocket(0).use { it.localPort }
        val text = SETTINGS.replace(
            "PORT",
            port.toString(),
        ).replace("bind = \"127.0.0.1:0\"", "bind = \"127.0.0.1:$own\"")
        val file = Files.createTempFile("otterknot", ".toml")
        val settings = try {
            Files.writeString(file, text)
            SettingsFile.read(file)
        } finally {
            Files.delete(file)
        }
        val work = launch { stub.serve(this, listener) }
        val controller = launch {
            serveOn(loop, settings, Random(1))
        }
        OperatorSettingsFile.parse("(load-spread :mode act :margin-s 3.0 :hand-overs true)")
        // Told for the first time a minute after a start, when nobody should wait for its classes.
        Metrics { 0 }.apply {
            count("warm-up")
            recordDuration("warm-up", 1)
            formatCounts()
            formatDurations()
        }
        val client = HttpClient(loop, HostPort("127.0.0.1", own))
        repeat(30) { round ->
            delay(50)
            client.call("GET", "/ready", null, 1_000)
            client.call("POST", "/submissions", JOB.encodeToByteArray(), 1_000)
            client.call("GET", "/submissions/j-000001", null, 1_000)
            client.call("POST", "/submissions/j-000001/withdraw", ByteArray(0), 1_000)
            client.call("POST", "/v1/report", report(round).encodeToByteArray(), 1_000)
        }
        controller.cancel()
        work.cancel()
        0
    }

    private fun report(round: Int) =
        """{"Holt":"m-000001","Endpoint":"127.0.0.1:9","Breed":"g","Reach":"a","Driftwood":false,""" +
            """"Dive":1,"Ripple":${round + 1},"Warrant":5,"WarningS":null,""" +
            """"Chores":[{"Chore":"j-000001/0","Try":1,"Mood":"running"},""" +
            """{"Chore":"j-000001/1","Try":2,"Mood":"exited","Cause":"done"}]}"""

    private suspend fun answer(path: String, body: String): HttpResponse = when {
        path == "/flavors" -> ok(
            """{"Breeds":[{"Name":"g","Cores":16,"Cards":0,"MemoryGb":64,"LocalGb":20,"PullGbPerS":1.0,""" +
                """"Rate":1.0,"SpotPrice":0.4,"ReadyS":1,"Reaches":["a"]}]}""",
        )

        path == "/machines" && body.isEmpty() -> ok("""{"Holts":[],"More":false}""")

        path == "/machines" -> ok("""{"Holts":["m-000001"]}""")

        path.startsWith("/machines") -> ok("{}")

        path == "/watch" -> {
            delay(100)
            ok("""{"Tide":6,"Log":[]}""")
        }

        path == "/txn" -> ok("""{"Tide":5}""")

        path.startsWith("/holds") -> ok("""{"Tenure":1}""")

        path == "/store" -> ok(
            """{"Pairs":[{"Key":"o/j/j-000001","V":{"s":$JOB,"a":[{"z":"a","f":0,"u":2}],"t":1},"Mark":4},""" +
                """{"Key":"o/m/a/0","V":{"m":{"m-000001":"g"}},"Mark":4},""" +
                """{"Key":"o/d/a/4-0","V":{"d":{"j-000001":"AQ"}},"Mark":4},""" +
                """{"Key":"o/s/a","V":{"m":0.1,"c":16.0},"Mark":4}],"More":false,"Tide":5}""",
        )

        else -> HttpResponse(404, """{"Tide":6}""".encodeToByteArray())
    }

    private fun ok(text: String) = HttpResponse(200, text.encodeToByteArray())
}
