package io.otterknot.cli

import io.otterknot.config.OperatorSettings
import io.otterknot.config.OperatorSettingsFollower
import io.otterknot.config.Settings
import io.otterknot.config.parse
import io.otterknot.controller.BackgroundTasks
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

/** Runs a controller until the process ends or an I/O error stops it. Returns one of [ExitCode]. */
internal fun runController(settings: Settings, operatorSettings: OperatorSettingsFollower?): Int = try {
    val seed = System.nanoTime() xor settings.label.hashCode().toLong()
    onEventLoop { loop -> serveController(loop, settings, Random(seed), operatorSettings) }
    ExitCode.OK
} catch (e: IOException) {
    LoggerFactory.getLogger(LOGGER_NAME).error("controller={} error={} cannot run", settings.label, e.toString())
    ExitCode.FAILURE
}

/** Runs [work] on a new event loop: all code of a controller runs on one thread, which also waits for sockets. */
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
    val maxConnections = maxOf(
        MIN_CONNECTIONS,
        settings.facts.machineLimits.fdLimit * CONNECTION_SHARE_NUMERATOR / CONNECTION_SHARE_DENOMINATOR,
    )
    val server = HttpServer(loop, maxConnections, MAX_BODY_BYTES, handler = controller::handleRequest)
    launch { controller.run() }
    if (operatorSettings != null) BackgroundTasks(this).start("operator-settings") { operatorSettings.follow() }
    launch {
        PeerServer(loop, respond = controller::handlePeerRequest)
            .serve(this, HostPort.parse("peer_listen", settings.peerListen))
    }
    // After a crash hundreds of workers look for a leader. Responding to each of them before the state is loaded would
    // use the little processor time that loading needs. A refused connection costs almost nothing and also makes the
    // worker try another controller.
    withTimeoutOrNull(MAX_BIND_DELAY_MS) { controller.awaitLoaded() }
    val listener = server.bind(HostPort.parse("bind", settings.bind))
    LoggerFactory.getLogger(LOGGER_NAME)
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
private const val LOGGER_NAME = "otterknot"
private const val NANOS_PER_MS = 1_000_000

/** The port is bound after this time even if the state is not loaded, so that workers can at least find the leader. */
private const val MAX_BIND_DELAY_MS = 4_000L

/** The lower bound of the connection limit, even if the machine allows fewer file descriptors. */
private const val MIN_CONNECTIONS = 32

/** The share of the allowed file descriptors that accepted connections may use: numerator and denominator. */
private const val CONNECTION_SHARE_NUMERATOR = 4
private const val CONNECTION_SHARE_DENOMINATOR = 5
