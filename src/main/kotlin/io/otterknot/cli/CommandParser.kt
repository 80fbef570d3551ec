package io.otterknot.cli

import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import java.nio.file.Path

/** The command line, built without annotations: reading those by reflection costs start-up time. */
internal object CommandParser {
    @Suppress("SpreadOperator") // The parser takes nothing else, and is called once.
    fun run(args: Array<String>): Int {
        val commandLine = CommandLine(spec())
        commandLine.executionStrategy = CommandLine.IExecutionStrategy { parsed ->
            CommandLine.executeHelpRequest(parsed) ?: execute(parsed)
        }
        return commandLine.execute(*args)
    }

    private fun spec(): CommandSpec {
        val root = CommandSpec.create().name("otterknot").version("otterknot $VERSION")
        root.usageMessage().description(
            "A cluster scheduler for small sites. Without a command it runs one controller.",
        )
        root.mixinStandardHelpOptions(true)
        root.addOption(configOption()).addOption(operatorsOption())
        root.addSubcommand(CheckCommand.NAME, CheckCommand.spec())
        root.addSubcommand(MovesCommand.NAME, MovesCommand.spec())
        root.addSubcommand(WARMUP_COMMAND, warmupSpec())
        return root
    }

    private fun warmupSpec(): CommandSpec {
        val spec = CommandSpec.create().name(WARMUP_COMMAND)
        spec.usageMessage()
            .description("Loads what a controller uses and ends; the build makes its class-data archive from it.")
            .hidden(true)
        return spec
    }

    private fun execute(parsed: CommandLine.ParseResult): Int {
        val command = generateSequence(parsed) { it.subcommand() }.last()
        return when (command.commandSpec().name()) {
            WARMUP_COMMAND -> ClassDataWarmup.run()
            MovesCommand.NAME -> MovesCommand.execute(command)
            CheckCommand.NAME -> CheckCommand.execute(command)
            else -> startController(command)
        }
    }

    private fun startController(command: CommandLine.ParseResult): Int {
        val settings = command.path(CONFIG_OPTION) ?: return reportMissingConfig()
        return start(StartFiles(settings, command.path(OPERATORS_OPTION)))
    }

    private const val WARMUP_COMMAND = "warm-up"
}

internal fun configOption(): OptionSpec = OptionSpec.builder("-c", CONFIG_OPTION)
    .paramLabel("FILE")
    .type(Path::class.java)
    .description("the settings file (TOML)")
    .build()

internal fun operatorsOption(): OptionSpec = OptionSpec.builder(OPERATORS_OPTION)
    .paramLabel("FILE")
    .type(Path::class.java)
    .description("the operators' own settings (S-expressions); without such a file all that it turns on is off")
    .build()

/** The value of an option that names a file; null if it is not given. */
internal fun CommandLine.ParseResult.path(option: String): Path? = matchedOptionValue<Path?>(option, null)

internal fun reportMissingConfig(): Int {
    System.err.println("otterknot: $CONFIG_OPTION FILE is missing")
    return ExitCode.USAGE
}
