package io.otterknot.cli

import io.otterknot.config.OperatorSettingsFile
import io.otterknot.config.SettingsFile
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import java.nio.file.Path

/** `otterknot check`: checks the settings file, the operators' file or both. */
internal object CheckCommand {
    const val NAME = "check"

    fun spec(): CommandSpec {
        val spec = CommandSpec.create().name(NAME)
        spec.usageMessage().description("Checks the settings files and prints the first error found.")
        spec.mixinStandardHelpOptions(true)
        return spec.addOption(configOption()).addOption(operatorsOption())
    }

    fun execute(parsed: CommandLine.ParseResult): Int {
        val settings = parsed.path(CONFIG_OPTION)
        val operatorSettings = parsed.path(OPERATORS_OPTION)
        if (settings == null && operatorSettings == null) return reportMissingConfig()
        val results = ArrayList<String>()
        if (settings != null) results.add(checkSettings(settings) ?: return ExitCode.USAGE)
        if (operatorSettings != null) results.add(checkOperatorSettings(operatorSettings) ?: return ExitCode.USAGE)
        results.forEach(::println)
        return ExitCode.OK
    }

    /** Returns the line to print for a valid [file]; or null, after one line on standard error, if it is invalid. */
    private fun checkSettings(file: Path): String? {
        val settings = readOrReport { SettingsFile.read(file) } ?: return null
        return "${settings.label}: the settings are good"
    }

    /** Returns the line to print for a valid [file]; or null, after one line on standard error, if it is invalid. */
    private fun checkOperatorSettings(file: Path): String? {
        val settings = readOrReport { OperatorSettingsFile.read(file) } ?: return null
        return "$file: good; load-spread is ${settings.loadSpread.mode.name.lowercase()}"
    }
}
