package io.otterknot.cli

import io.otterknot.config.OperatorSettingsFile
import io.otterknot.config.SettingsFile
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import java.nio.file.Path

/** `otterknot check`: whether the settings files are valid; either may be checked by itself. */
internal object CheckCommand {
    const val NAME = "check"

    fun spec(): CommandSpec {
        val spec = CommandSpec.create().name(NAME)
        spec.usageMessage().description("Checks the settings files and says what is wrong with them.")
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

    /** Null, with one line on standard error, if the file is invalid. */
    private fun checkSettings(file: Path): String? {
        val settings = orReport { SettingsFile.read(file) } ?: return null
        return "${settings.label}: the settings are good"
    }

    /** Null, with one line on standard error, if the file is invalid. */
    private fun checkOperatorSettings(file: Path): String? {
        val settings = orReport { OperatorSettingsFile.read(file) } ?: return null
        return "$file: good; load-spread is ${settings.loadSpread.mode.name.lowercase()}"
    }
}
