package io.otterknot.cli

import io.otterknot.config.InvalidSettingsException
import io.otterknot.config.OperatorSettingsFile
import io.otterknot.config.OperatorSettingsFollower
import io.otterknot.config.SettingsFile
import java.nio.file.Path
import kotlin.system.exitProcess

const val VERSION = "0.1.0"

fun main(args: Array<String>) {
    configureLogging()
    exitProcess(run(args))
}

/** Sets the logging properties. Must run before the first logger is created: slf4j-simple reads them only once. */
private fun configureLogging() {
    val level = System.getenv("LOG_LEVEL")?.lowercase()?.takeIf {
        it in setOf("error", "warn", "info", "debug", "trace")
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level ?: "info")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
}

/** Runs the command given by [args]. Returns one of [ExitCode]. */
internal fun run(args: Array<String>): Int {
    val files = startFilesOf(args) ?: return CommandParser.run(args)
    return start(files)
}

/** The settings files of a controller's command line. */
internal class StartFiles(
    val settings: Path,
    /** The operators' file, or null if none is given; all optional subsystems are then off. */
    val operatorSettings: Path?,
)

/**
 * Returns the files of a command line as controllers are usually started with, or null for any other command line.
 * This avoids loading the argument parser (picocli): its class files have a version that the JVM does not put into the
 * class-data archive, and loading them takes a fifth of the start-up time, which is one second on a tenth of a core.
 */
private fun startFilesOf(args: Array<String>): StartFiles? = when {
    args.size == 2 && args[0] == CONFIG_OPTION -> StartFiles(Path.of(args[1]), null)

    args.size == OPTIONS_WITH_VALUES * 2 && args[0] == OPERATORS_OPTION && args[2] == CONFIG_OPTION ->
        StartFiles(settings = Path.of(args.last()), operatorSettings = Path.of(args[1]))

    else -> null
}

/** Reads the settings and runs a controller until the process ends. Returns one of [ExitCode]. */
internal fun start(files: StartFiles): Int {
    val settings = readOrReport { SettingsFile.read(files.settings) } ?: return ExitCode.USAGE
    val operatorSettings = files.operatorSettings?.let { path ->
        val initial = readOrReport { OperatorSettingsFile.read(path) } ?: return ExitCode.USAGE
        OperatorSettingsFollower(path, initial)
    }
    return runController(settings, operatorSettings)
}

/** Returns the result of [read]; or null, after one line on standard error, if the settings are invalid. */
internal fun <T : Any> readOrReport(read: () -> T): T? = try {
    read()
} catch (e: InvalidSettingsException) {
    System.err.println("otterknot: bad settings: ${e.message}")
    null
}

internal const val CONFIG_OPTION = "--config"
internal const val OPERATORS_OPTION = "--operators"
private const val OPTIONS_WITH_VALUES = 2
