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
 * Runs a controller on loopback against stub services for a short time, so that the classes of an ordinary start are
 * loaded and the build can put them into the class-data archive. Used only by the build.
 */
internal object ClassDataWarmup {
    private const val LOOPBACK = "127.0.0.1"
    private const val PROJECT_CLASS_PREFIX = "io/otterknot/"
    private const val CLASS_FILE_SUFFIX = ".class"
    private const val MAX_STUB_CONNECTIONS = 32

    fun run(): Int {
        loadOwnClasses()
        runController()
        return ExitCode.OK
    }

    /**
     * Loads every class of this project by name, without initializing it. Classes that the run does not use would
     * otherwise be missing from the archive and be read from the jar when they are needed. Controllers load no class by
     * name.
     */
    private fun loadOwnClasses() {
        val source = Path.of(ClassDataWarmup::class.java.protectionDomain.codeSource.location.toURI())
        val isJar = Files.isRegularFile(source)
        if (!isJar) return
        JarFile(source.toFile()).use { jar ->
            jar.stream()
                .map { it.name }
                .filter { it.startsWith(PROJECT_CLASS_PREFIX) && it.endsWith(CLASS_FILE_SUFFIX) }
                .forEach {
                    Class.forName(it.removeSuffix(CLASS_FILE_SUFFIX).replace('/', '.'), false, javaClass.classLoader)
                }
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
        loadDeferredClasses()
        WarmupTraffic.send(HttpClient(loop, HostPort(LOOPBACK, controllerPort)))
        controller.cancel()
        stub.cancel()
    }

    private fun unusedPort(): Int = ServerSocket(0).use { it.localPort }

    /**
     * Loads the classes that a controller first uses one minute after its start (metrics) or when the operators' file
     * changes, so that loading them causes no delay then.
     */
    private fun loadDeferredClasses() {
        OperatorSettingsFile.parse("(load-spread :mode act :margin-s 3.0 :hand-overs true)")
        Metrics { 0 }.apply {
            count("warm-up")
            recordDuration("warm-up", 1)
            formatCounts()
            formatDurations()
        }
    }
}
