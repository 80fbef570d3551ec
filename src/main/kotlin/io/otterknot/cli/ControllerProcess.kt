package io.otterknot.cli

import io.otterknot.config.OperatorSettings
import io.otterknot.config.OperatorSettingsFollower
import io.otterknot.config.Settings
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
import java.io.IOException
import kotlin.random.Random

/** Runs a controller until the process is ended, or cannot go on; one of [ExitCode]. */
internal fun runController(settings: Settings, operatorSettings: OperatorSettingsFollower?): Int = try {
    val seed = System.nanoTime() xor settings.label.hashCode().toLong()
    onEventLoop { loop -> serveController(loop, settings, Random(seed), operatorSettings) }
    ExitCode.OK
} catch (e: IOException) {
    LoggerFactory.getLogger(LOGGER).error("controller={} error={} cannot run", settings.label, e.toString())
    ExitCode.FAILURE
}

/** Runs [work] on a new event loop: all decisions are taken one at a time, on the thread that also waits for sockets. */
internal fun <T> onEventLoop(work: suspend CoroutineScope.(EventLoop) -> T): T =
    EventLoop().use { loop -> loop.run { work(loop) } }

/** Runs a controller on real sockets until cancelled. */
internal suspend fun serveController(
    loop: EventLoop,
    settings: Settings,
    random: Random,
    operatorSettings: OperatorSettingsFollower? = null,
): Unit = coroutineScope {
    val controller = Controller(
        settings,
        transports(loop, settings),
        random,
        nowMs = { System.nanoTime() / NANOS_PER_MS },
        wallMs = System::currentTimeMillis,
        operatorSettings = { operatorSettings?.current ?: ALL_OFF },
    )
    val maxConnections = maxOf(MIN_CONNECTIONS, settings.facts.machineLimits.fdLimit * CONNECTION_PARTS / FILE_PARTS)
    val server = HttpServer(loop, maxConnections, MAX_BODY_BYTES, handler = controller::handleRequest)
    launch { controller.run() }
    if (operatorSettings != null) launch { operatorSettings.follow() }
    launch {
        PeerServer(loop, controller::handlePeerRequest).serve(this, HostPort.parse("peer_listen", settings.peerListen))
    }
    // Hundreds of workers look for a leader after a crash. Answering each that nothing is known yet would take the little
    // processor time that reading the state needs; a refused connection costs next to nothing and sends them on as well.
    withTimeoutOrNull(MAX_BIND_DELAY_MS) { controller.awaitLoaded() }
    val listener = server.bind(HostPort.parse("bind", settings.bind))
    LoggerFactory.getLogger(LOGGER)
        .info("controller={} domain={} address={} listening", settings.label, settings.domain, settings.bind)
    server.serve(this, listener)
}

private fun transports(loop: EventLoop, settings: Settings): ControllerTransports {
    val store = HostPort.parse("endpoints.state", settings.endpoints.state)
    val cloud = HostPort.parse("endpoints.cloud", settings.endpoints.cloud)
    return ControllerTransports(
        state = HttpClient(loop, store, maxIdle = 4),
        watch = HttpClient(loop, store, maxIdle = 1),
        cloud = HttpClient(loop, cloud, maxIdle = 2),
        peers = settings.members.associate { it.label to PeerClient(loop, HostPort.parse(it.label, it.endpoint)) },
    )
}

private val ALL_OFF = OperatorSettings()
private const val LOGGER = "otterknot"
private const val NANOS_PER_MS = 1_000_000

/** The port is bound after this time even if the store has not been read: workers then learn at least who leads. */
private const val MAX_BIND_DELAY_MS = 4_000L

/** The fewest connections that are accepted, however few file descriptors the machine allows. */
private const val MIN_CONNECTIONS = 32

/** Of each [FILE_PARTS] file descriptors that the machine allows, these are for accepted connections. */
private const val CONNECTION_PARTS = 4
private const val FILE_PARTS = 5
