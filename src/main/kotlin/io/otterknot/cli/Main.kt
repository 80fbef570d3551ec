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

/** Must come before the first logger: slf4j-simple reads these properties once. */
private fun configureLogging() {
    val level = System.getenv("LOG_LEVEL")?.lowercase()?.takeIf {
        it in setOf("error", "warn", "info", "debug", "trace")
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level ?: "info")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
}

/** Runs the command that [args] name; one of [ExitCode]. */
internal fun run(args: Array<String>): Int {
    val files = startFilesOf(args) ?: return CommandParser.run(args)
    return start(files)
}

/** The files that a controller is started with. */
internal class StartFiles(
    val settings: Path,
    /** Null: all that the operators' settings could turn on is off. */
    val operatorSettings: Path?,
)

/**
 * The command lines that controllers are started with; null for any other. The class files of the argument parser are of
 * a version that the JVM does not archive: loading them takes a fifth of a start, on a tenth of a core a second.
 */
private fun startFilesOf(args: Array<String>): StartFiles? = when {
    args.size == 2 && args[0] == CONFIG_OPTION -> StartFiles(Path.of(args[1]), null)

    args.size == OPTIONS_WITH_VALUES * 2 && args[0] == OPERATORS_OPTION && args[2] == CONFIG_OPTION ->
        StartFiles(settings = Path.of(args.last()), operatorSettings = Path.of(args[1]))

    else -> null
}

/** Reads the settings and runs a controller until the process is ended. */
internal fun start(files: StartFiles): Int {
    val settings = orReport { SettingsFile.read(files.settings) } ?: return ExitCode.USAGE
    val operatorSettings = files.operatorSettings?.let { path ->
        val initial = orReport { OperatorSettingsFile.read(path) } ?: return ExitCode.USAGE
        OperatorSettingsFollower(path, initial)
    }
    return runController(settings, operatorSettings)
}

/** What [read] returns; null, with one line on standard error, if the settings are invalid. */
internal fun <T : Any> orReport(read: () -> T): T? = try {
    read()
} catch (e: InvalidSettingsException) {
    System.err.println("otterknot: bad settings: ${e.message}")
    null
}

internal const val CONFIG_OPTION = "--config"
internal const val OPERATORS_OPTION = "--operators"
private const val OPTIONS_WITH_VALUES = 2
