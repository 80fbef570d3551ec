package io.otterknot.soak

import io.otterknot.load.ControllerCommand
import java.io.File
import java.nio.file.Files
import java.nio.file.Path

/** The process of one controller, which can be killed, paused and resumed. */
class ManagedController(private val settings: Path, private val log: File, private val logLevel: String) {
    private var process: Process? = null

    init {
        // No controller outlives an interrupted run.
        Runtime.getRuntime().addShutdownHook(Thread(::kill))
    }

    /** How many overlapping pauses are in force. */
    private var pauses = 0

    /** Whether the process has ended although nobody killed it. */
    val hasEndedByItself: Boolean get() = process?.isAlive == false

    fun start() {
        if (process != null) return
        val builder = ProcessBuilder(ControllerCommand.of(settings))
        builder.environment()["LOG_LEVEL"] = logLevel
        process = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.appendTo(log))
            .start()
        pauses = 0
    }

    /** Ends the process at once, also while it is paused. */
    fun kill() {
        process?.destroyForcibly()?.waitFor()
        process = null
    }

    /** Stops the process; it goes on when each pause has been ended by [resume]. No effect if it does not run. */
    fun pause() {
        if (pauses++ == 0) signal("STOP")
    }

    fun resume() {
        if (pauses > 0 && --pauses == 0) signal("CONT")
    }

    /** The lines that the controller logged as errors. */
    fun errorLines(): List<String> =
        if (log.exists()) Files.readAllLines(log.toPath()).filter { it.startsWith("ERROR") } else emptyList()

    private fun signal(name: String) {
        val pid = process?.takeIf { it.isAlive }?.pid() ?: return
        ProcessBuilder("kill", "-$name", "$pid").start().waitFor()
    }
}
