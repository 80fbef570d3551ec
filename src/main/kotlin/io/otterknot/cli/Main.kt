package io.otterknot.cli

import io.otterknot.config.InvalidSettingsException
import io.otterknot.config.OperatorSettings
import io.otterknot.config.OperatorSettingsFile
import io.otterknot.config.OperatorSettingsFollower
import io.otterknot.config.Settings
import io.otterknot.config.SettingsFile
import io.otterknot.config.parse
import io.otterknot.controller.Controller
import io.otterknot.controller.ControllerTransports
import io.otterknot.http.HttpClient
import io.otterknot.http.HttpServer
import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
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

/** The files that a controller is started with. */
internal class StartFiles(val config: Path, val operators: Path?)

/** The command line, built without annotations: reading those by reflection costs start-up time. */
internal fun run(args: Array<String>): Int {
    plainStart(args)?.let { return start(it) }
    val root = CommandSpec.create().name("otterknot").version("otterknot $VERSION")
    root.usageMessage().description("A cluster scheduler for small sites. Without a command it runs one controller.")
    root.mixinStandardHelpOptions(true)
    root.addOption(configOption()).addOption(operatorsOption())
    root.addSubcommand("check", checkCommand())
    root.addSubcommand(MovesCommand.NAME, MovesCommand.spec())
    root.addSubcommand("warm-up", warmUpCommand())
    val command = CommandLine(root)
    command.executionStrategy = CommandLine.IExecutionStrategy { parsed ->
        CommandLine.executeHelpRequest(parsed) ?: execute(parsed)
    }
    return command.execute(*args)
}

/**
 * The command lines that controllers are started with; null: it is another one. The class files of the argument parser
 * are of a version that the JVM does not archive; loading them takes a fifth of a start, which on a tenth of a core is
 * a second.
 */
private fun plainStart(args: Array<String>): StartFiles? = when {
    args.size == 2 && args[0] == CONFIG -> StartFiles(Path.of(args[1]), null)
    args.size == 4 && args[0] == OPERATORS && args[2] == CONFIG -> StartFiles(Path.of(args[3]), Path.of(args[1]))
    else -> null
}

private fun checkCommand(): CommandSpec {
    val check = CommandSpec.create().name("check")
    check.usageMessage().description("Checks the settings files and says what is wrong with them.")
    check.mixinStandardHelpOptions(true)
    return check.addOption(configOption()).addOption(operatorsOption())
}

private fun warmUpCommand(): CommandSpec {
    val warmUp = CommandSpec.create().name("warm-up")
    warmUp.usageMessage().description(
        "Loads what a controller uses and ends; the build makes its class-data archive from it.",
    ).hidden(true)
    return warmUp
}

private fun configOption() = OptionSpec.builder("-c", CONFIG).paramLabel("FILE").type(Path::class.java)
    .description("the settings file (TOML)").build()

private fun operatorsOption() = OptionSpec.builder(OPERATORS).paramLabel("FILE").type(Path::class.java)
    .description("the operators' own settings (S-expressions); without such a file all that it turns on is off").build()

private fun execute(parsed: CommandLine.ParseResult): Int {
    val leaf = generateSequence(parsed) { it.subcommand() }.last()
    when (leaf.commandSpec().name()) {
        "warm-up" -> return ClassDataWarmup.run()
        MovesCommand.NAME -> return MovesCommand.execute(leaf)
    }
    val config = leaf.matchedOptionValue<Path>(CONFIG, null)
    val operators = leaf.matchedOptionValue<Path>(OPERATORS, null)
    if (leaf.commandSpec().name() == "check") return check(config, operators)
    if (config == null) return missingConfig()
    return start(StartFiles(config, operators))
}

private fun missingConfig(): Int {
    System.err.println("otterknot: $CONFIG FILE is missing")
    return USAGE
}

/** Either file may be checked by itself. */
private fun check(config: Path?, operators: Path?): Int {
    if (config == null && operators == null) return missingConfig()
    val checked = ArrayList<String>()
    if (config != null) {
        val settings = orTold { SettingsFile.read(config) } ?: return USAGE
        checked.add("${settings.label}: the settings are good")
    }
    if (operators != null) {
        val settings = orTold { OperatorSettingsFile.read(operators) } ?: return USAGE
        checked.add("$operators: good; load-spread is ${settings.loadSpread.mode.name.lowercase()}")
    }
    checked.forEach(::println)
    return OK
}

private fun start(files: StartFiles): Int {
    val settings = orTold { SettingsFile.read(files.config) } ?: return USAGE
    val operators = files.operators?.let { path ->
        val initial = orTold { OperatorSettingsFile.read(path) } ?: return USAGE
        OperatorSettingsFollower(path, initial)
    }
    return serve(settings, operators)
}

/** What [read] gives; null, with one line on standard error, if the settings are bad. */
private fun <T : Any> orTold(read: () -> T): T? = try {
    read()
} catch (e: InvalidSettingsException) {
    System.err.println("otterknot: bad settings: ${e.message}")
    null
}

private val ALL_OFF = OperatorSettings()
private const val LATEST_BIND_MS = 4_000L
private const val CONFIG = "--config"
private const val OPERATORS = "--operators"
internal const val OK = CommandLine.ExitCode.OK
internal const val USAGE = CommandLine.ExitCode.USAGE
private const val SOFTWARE = CommandLine.ExitCode.SOFTWARE

/** Runs a controller on real sockets until cancelled. */
internal suspend fun serveOn(
    loop: EventLoop,
    settings: Settings,
    random: Random,
    operators: OperatorSettingsFollower? = null,
): Unit = coroutineScope {
    val stateAddress = HostPort.parse("endpoints.state", settings.endpoints.state)
    val links = ControllerTransports(
        state = HttpClient(loop, stateAddress, maxIdle = 4),
        watch = HttpClient(loop, stateAddress, maxIdle = 1),
        cloud = HttpClient(loop, HostPort.parse("endpoints.cloud", settings.endpoints.cloud), maxIdle = 2),
        peers = settings.members.associate { it.label to PeerClient(loop, HostPort.parse(it.label, it.endpoint)) },
    )
    val controller = Controller(
        settings,
        links,
        random,
        nowMs = { System.nanoTime() / 1_000_000 },
        wallMs = System::currentTimeMillis,
        operatorSettings = { operators?.current ?: ALL_OFF },
    )
    val server =
        HttpServer(
            loop,
            maxOf(32, settings.facts.machineLimits.fdLimit * 4 / 5),
            MAX_BODY_BYTES,
            handler = controller::handleRequest,
        )
    launch { controller.run() }
    if (operators != null) launch { operators.follow() }
    launch {
        PeerServer(loop, controller::handlePeerRequest).serve(this, HostPort.parse("peer_listen", settings.peerListen))
    }
    // Hundreds of workers look for an owner after a crash. Telling each that nothing is known yet would take the little
    // processor time that reading the state needs; a refused connection costs next to nothing and sends them on as
    // well.
    withTimeoutOrNull(LATEST_BIND_MS) { controller.awaitLoaded() }
    val listener = server.bind(HostPort.parse("bind", settings.bind))
    LoggerFactory.getLogger("otterknot").info("{} in {} listens on {}", settings.label, settings.domain, settings.bind)
    server.serve(this, listener)
}

internal fun serve(
    settings: Settings,
    operators: OperatorSettingsFollower?,
    randomSeed: Long = System.nanoTime() xor settings.label.hashCode().toLong(),
): Int = try {
    onLoop { loop -> serveOn(loop, settings, Random(randomSeed), operators) }
    OK
} catch (e: java.io.IOException) {
    LoggerFactory.getLogger("otterknot").error("cannot run: {}", e.toString())
    SOFTWARE
}

/** All decisions are taken one at a time, on the thread that also waits for sockets and timers. */
internal fun <T> onLoop(work: suspend CoroutineScope.(EventLoop) -> T): T =
    EventLoop().use { loop -> loop.run { work(loop) } }
