package io.otterknot.cli

import io.otterknot.config.BadSettings
import io.otterknot.config.HostPort
import io.otterknot.config.Settings
import io.otterknot.config.SettingsFile
import io.otterknot.controller.Controller
import io.otterknot.controller.Links
import io.otterknot.http.HttpClient
import io.otterknot.http.HttpServer
import io.otterknot.net.EventLoop
import io.otterknot.peer.PeerClient
import io.otterknot.peer.PeerServer
import io.otterknot.wire.MAX_BODY_BYTES
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import java.nio.file.Path
import kotlin.random.Random
import kotlin.system.exitProcess

const val VERSION = "0.1.0"

fun main(args: Array<String>) {
    val level =
        System.getenv("LOG_LEVEL")?.lowercase()?.takeIf { it in setOf("error", "warn", "info", "debug", "trace") }
            ?: "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
    exitProcess(run(args))
}

/** The command line, built without annotations: reading those by reflection costs start-up time. */
internal fun run(args: Array<String>): Int {
    // The one command line that controllers are started with. The class files of the argument parser are of a version
    // that the JVM does not archive; loading them takes a fifth of a start, which on a tenth of a core is a second.
    if (args.size == 2 && args[0] == CONFIG) return start(Path.of(args[1]))
    val root = CommandSpec.create().name("otterknot").version("otterknot $VERSION")
    root.usageMessage().description("A cluster scheduler for small sites. Without a command it runs one controller.")
    root.mixinStandardHelpOptions(true)
    root.addOption(configOption())
    val check = CommandSpec.create().name("check")
    check.usageMessage().description("Checks a settings file and says what is wrong with it.")
    check.mixinStandardHelpOptions(true)
    check.addOption(configOption())
    root.addSubcommand("check", check)
    val warmup = CommandSpec.create().name("warm-up")
    warmup.usageMessage().description(
        "Loads what a controller uses and ends; the build makes its class-data archive from it.",
    ).hidden(true)
    root.addSubcommand("warm-up", warmup)
    val command = CommandLine(root)
    command.executionStrategy = CommandLine.IExecutionStrategy { parsed ->
        CommandLine.executeHelpRequest(parsed) ?: execute(parsed)
    }
    return command.execute(*args)
}

private fun configOption() = OptionSpec.builder("-c", CONFIG).paramLabel("FILE").type(Path::class.java)
    .description("the settings file (TOML)").build()

private fun execute(parsed: CommandLine.ParseResult): Int {
    val leaf = generateSequence(parsed) { it.subcommand() }.last()
    if (leaf.commandSpec().name() == "warm-up") return ClassDataWarmup.run()
    val path = leaf.matchedOptionValue<Path>(CONFIG, null)
    if (path == null) {
        System.err.println("otterknot: $CONFIG FILE is missing")
        return USAGE
    }
    if (leaf.commandSpec().name() != "check") return start(path)
    val settings = settings(path) ?: return USAGE
    println("${settings.label}: the settings are good")
    return OK
}

private fun start(path: Path): Int = settings(path)?.let { serve(it) } ?: USAGE

/** The settings; null, with one line on standard error, if they are bad. */
private fun settings(path: Path): Settings? = try {
    SettingsFile.read(path)
} catch (e: BadSettings) {
    System.err.println("otterknot: bad settings: ${e.message}")
    null
}

private const val LATEST_BIND_MS = 4_000L
private const val CONFIG = "--config"
private const val OK = CommandLine.ExitCode.OK
private const val USAGE = CommandLine.ExitCode.USAGE
private const val SOFTWARE = CommandLine.ExitCode.SOFTWARE

/** Runs a controller on real sockets until cancelled. */
internal suspend fun serveOn(loop: EventLoop, settings: Settings, random: Random): Unit = coroutineScope {
    val stateAddress = HostPort.parse("endpoints.state", settings.endpoints.state)
    val links = Links(
        state = HttpClient(loop, stateAddress, keep = 4),
        watch = HttpClient(loop, stateAddress, keep = 1),
        cloud = HttpClient(loop, HostPort.parse("endpoints.cloud", settings.endpoints.cloud), keep = 2),
        peers = settings.members.associate { it.label to PeerClient(loop, HostPort.parse(it.label, it.endpoint)) },
    )
    val controller = Controller(settings, links, random, { System.nanoTime() / 1_000_000 }, System::currentTimeMillis)
    val server =
        HttpServer(loop, maxOf(32, settings.facts.machineLimits.fdLimit * 4 / 5), MAX_BODY_BYTES, handler = controller::route)
    launch { controller.run() }
    launch { PeerServer(loop, controller::peer).serve(this, HostPort.parse("peer_listen", settings.peerListen)) }
    // Hundreds of workers look for an owner after a crash. Telling each that nothing is known yet would take the little
    // processor time that reading the state needs; a refused connection costs next to nothing and sends them on as
    // well.
    withTimeoutOrNull(LATEST_BIND_MS) { controller.loaded() }
    val listener = server.bind(HostPort.parse("bind", settings.bind))
    LoggerFactory.getLogger("otterknot").info("{} in {} listens on {}", settings.label, settings.domain, settings.bind)
    server.serve(this, listener)
}

internal fun serve(
    settings: Settings,
    randomSeed: Long = System.nanoTime() xor settings.label.hashCode().toLong(),
): Int = try {
    onLoop { loop -> serveOn(loop, settings, Random(randomSeed)) }
    OK
} catch (e: java.io.IOException) {
    LoggerFactory.getLogger("otterknot").error("cannot run: {}", e.toString())
    SOFTWARE
}

/** All decisions are taken one at a time, on the thread that also waits for sockets and timers. */
internal fun <T> onLoop(work: suspend CoroutineScope.(EventLoop) -> T): T =
    EventLoop().use { loop -> loop.run { work(loop) } }
