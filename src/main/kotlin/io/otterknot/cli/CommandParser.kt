package io.otterknot.cli

import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import java.nio.file.Path

/** Parses the command line. It is described without annotations, since reading them by reflection slows the start. */
internal object CommandParser {
    @Suppress("SpreadOperator") // picocli accepts only varargs, and the array is copied only once.
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
            .description("Loads the classes that a controller uses and exits; the build archives their class data.")
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
    .description("the platform's settings file (TOML)")
    .build()

internal fun operatorsOption(): OptionSpec = OptionSpec.builder(OPERATORS_OPTION)
    .paramLabel("FILE")
    .type(Path::class.java)
    .description("the operators' settings file (S-expressions); without it all optional subsystems are off")
    .build()

/** Returns the path given with [option], or null if the option is not given. */
internal fun CommandLine.ParseResult.path(option: String): Path? = matchedOptionValue<Path?>(option, null)

internal fun reportMissingConfig(): Int {
    System.err.println("otterknot: option $CONFIG_OPTION FILE is required")
    return ExitCode.USAGE
}
