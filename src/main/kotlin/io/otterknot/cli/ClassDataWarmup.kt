package io.otterknot.cli

import io.otterknot.config.OperatorSettingsFile
import io.otterknot.http.HttpClient
import io.otterknot.http.HttpServer
import io.otterknot.metrics.Metrics
import io.otterknot.net.HostPort
import io.otterknot.wire.MAX_BODY_BYTES
import kotlinx.coroutines.launch
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.jar.JarFile
import kotlin.random.Random

/**
 * A short run on loopback against a stub, so that the classes of an ordinary start are loaded and the build can archive
 * them. Runs in the build alone.
 */
internal object ClassDataWarmup {
    private const val LOOPBACK = "127.0.0.1"
    private const val OWN_CLASSES = "io/otterknot/"
    private const val CLASS_FILE = ".class"
    private const val MAX_STUB_CONNECTIONS = 32

    fun run(): Int {
        loadOwnClasses()
        runController()
        return ExitCode.OK
    }

    /**
     * Loads every class of this project by name, without initialising it: what the run does not reach would otherwise
     * be missing in the archive and be read from the jar when it is needed. Controllers themselves load none by name.
     */
    private fun loadOwnClasses() {
        val source = Path.of(ClassDataWarmup::class.java.protectionDomain.codeSource.location.toURI())
        val isJar = Files.isRegularFile(source)
        if (!isJar) return
        JarFile(source.toFile()).use { jar ->
            jar.stream()
                .map { it.name }
                .filter { it.startsWith(OWN_CLASSES) && it.endsWith(CLASS_FILE) }
                .forEach { Class.forName(it.removeSuffix(CLASS_FILE).replace('/', '.'), false, javaClass.classLoader) }
        }
    }

    private fun runController() = onEventLoop { loop ->
        val services = HttpServer(loop, MAX_STUB_CONNECTIONS, MAX_BODY_BYTES) {
            WarmupServices.respond(it.path, it.body.decodeToString())
        }
        val listener = services.bind(HostPort(LOOPBACK, 0))
        val controllerPort = unusedPort()
        val settings = WarmupSettings.read(listener.port, controllerPort)
        val stub = launch { services.serve(this, listener) }
        val controller = launch { serveController(loop, settings, Random(1)) }
        useLateClasses()
        WarmupTraffic.send(HttpClient(loop, HostPort(LOOPBACK, controllerPort)))
        controller.cancel()
        stub.cancel()
    }

    private fun unusedPort(): Int = ServerSocket(0).use { it.localPort }

    /** What is first used a minute after a start, or once the operators' file changes: nobody shall wait for it then. */
    private fun useLateClasses() {
        OperatorSettingsFile.parse("(load-spread :mode act :margin-s 3.0 :hand-overs true)")
        Metrics { 0 }.apply {
            count("warm-up")
            recordDuration("warm-up", 1)
            formatCounts()
            formatDurations()
        }
    }
}
