package io.otterknot.soak

import io.otterknot.net.EventLoop
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.currentCoroutineContext
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** Runs controller processes on loopback under random faults and checks all rules from outside. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = ["Runs controller processes on loopback under random faults and checks all rules from outside."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:every rule was kept", "1:a rule was broken", "2:the arguments are invalid"],
)
class SoakCommand : Callable<Int> {
    @Option(names = ["--seeds"], paramLabel = "N", description = ["how many seeds to run (default 1)"])
    private var seeds = 1

    @Option(names = ["--first-seed"], paramLabel = "N", description = ["the first seed (default 1)"])
    private var firstSeed = 1L

    @Option(names = ["--seconds"], paramLabel = "N", description = ["how long faults are injected (default 45)"])
    private var seconds = 45

    @Option(names = ["--workers"], paramLabel = "N", description = ["machines up at the start (default 18)"])
    private var workers = 18

    @Option(names = ["--fault"], paramLabel = "TEXT", description = ["inject only faults whose name contains TEXT"])
    private var fault = ""

    @Option(names = ["--port-base"], paramLabel = "PORT", description = ["first loopback port (default 21000)"])
    private var portBase = 21_000

    @Option(names = ["--log-dir"], paramLabel = "DIR", description = ["for logs and results (default target/soak)"])
    private var directory: Path = Path.of("target/soak")

    @Option(names = ["--log-level"], paramLabel = "LEVEL", description = ["of the controllers (default info)"])
    private var logLevel = "info"

    override fun call(): Int {
        val problem = findProblem()
        if (problem != null) {
            System.err.println("soak: $problem")
            return CommandLine.ExitCode.USAGE
        }
        val results = (firstSeed until firstSeed + seeds).map(::runSeed)
        val broken = results.filter { it.problems.isNotEmpty() }
        println("${results.size} seeds, ${broken.size} with problems: ${broken.map { it.seed }}")
        return if (broken.isEmpty()) CommandLine.ExitCode.OK else CommandLine.ExitCode.SOFTWARE
    }

    /** Returns what is wrong with the arguments, or null if they are valid. */
    private fun findProblem(): String? = when {
        seeds <= 0 -> "--seeds must be positive"
        seconds <= 0 -> "--seconds must be positive"
        workers < MIN_WORKERS -> "--workers must be at least $MIN_WORKERS"
        portBase !in 1..LAST_PORT - SoakPorts.COUNT -> "--port-base must be from 1 to ${LAST_PORT - SoakPorts.COUNT}"
        !SoakFault.exists(fault) -> "no fault has a name that contains \"$fault\""
        else -> null
    }

    private fun runSeed(seed: Long): SoakResult {
        val seedDirectory = directory.resolve("seed-$seed")
        seedDirectory.toFile().deleteRecursively()
        Files.createDirectories(seedDirectory)
        val options = SoakOptions(seed, seconds, fault, workers, portBase, seedDirectory, logLevel)
        val result = EventLoop().use { loop ->
            loop.run {
                SoakRun(this, loop, options).run().also { currentCoroutineContext().cancelChildren() }
            }
        }
        println(result)
        result.problems.forEach { println("  $it") }
        return result
    }

    companion object {
        private const val MIN_WORKERS = 6

        /** The system takes higher ports for outgoing connections. */
        private const val LAST_PORT = 32_767

        /** Runs the command with the arguments [args] and returns its exit code. */
        fun execute(args: Array<String>): Int {
            val command = CommandLine(SoakCommand())
            command.setParameterExceptionHandler { exception, _ ->
                System.err.println("soak: ${exception.message}")
                CommandLine.ExitCode.USAGE
            }
            return command.execute(*args)
        }

        @JvmStatic
        fun main(args: Array<String>) {
            exitProcess(execute(args))
        }
    }
}
