package io.otterknot.load

import java.nio.file.Files
import java.nio.file.Path

/** The command line in `deploy/service.toml` with which operators start a controller. */
object ControllerCommand {
    /**
     * Returns the command with the settings file [settings], the additional JVM [options] and the operator settings file
     * [operators]; if that is null, without operator settings, so that optional subsystems are off.
     */
    fun of(settings: Path, options: List<String> = emptyList(), operators: Path? = null): List<String> {
        val command = Files.readAllLines(Path.of("deploy/service.toml")).first { it.startsWith("run = ") }
            .substringAfter('"').substringBeforeLast('"').split(' ')
        val jarIndex = command.indexOf("-jar")
        val jarArguments = command.subList(jarIndex, jarIndex + 2)
        val operatorArguments = listOfNotNull("--operators".takeIf { operators != null }, operators?.toString())
        return command.take(jarIndex) + options + jarArguments + operatorArguments + listOf("--config", "$settings")
    }
}
