package io.otterknot.cli

import io.otterknot.rebalance.MoveLogReport
import io.otterknot.rebalance.MoveReport
import kotlinx.serialization.json.Json
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.useLines

/** `otterknot moves`: reports from controllers' logs what load spread moved, what it did not move, and why. */
internal object MovesCommand {
    const val NAME = "moves"
    private const val LOG_OPTION = "--log"
    private const val TEAM_OPTION = "--team"
    private const val JSON_OPTION = "--json"
    private val prettyJson = Json { prettyPrint = true }

    fun spec(): CommandSpec {
        val spec = CommandSpec.create().name(NAME)
        spec.usageMessage().description(
            "Reports from controllers' logs what load spread moved, what it did not move, and why.",
        )
        spec.mixinStandardHelpOptions(true)
        return spec.addOption(logOption()).addOption(teamOption()).addOption(jsonOption())
    }

    private fun logOption() = OptionSpec.builder("-l", LOG_OPTION)
        .paramLabel("FILE")
        .type(List::class.java)
        .auxiliaryTypes(Path::class.java)
        .required(true)
        .description("a controller's log file; may be given several times")
        .build()

    private fun teamOption() = OptionSpec.builder(TEAM_OPTION)
        .paramLabel("TEAM")
        .type(String::class.java)
        .description("report only this team")
        .build()

    private fun jsonOption() = OptionSpec.builder(JSON_OPTION)
        .type(Boolean::class.java)
        .description("print the report as JSON")
        .build()

    fun execute(parsed: CommandLine.ParseResult): Int {
        val logs = parsed.matchedOptionValue<List<Path>>(LOG_OPTION, emptyList())
        val team = parsed.matchedOptionValue<String?>(TEAM_OPTION, null)
        val report = try {
            read(logs, team)
        } catch (e: IOException) {
            System.err.println("otterknot: cannot read a log file: ${e.message}")
            return ExitCode.USAGE
        }
        print(report, asJson = parsed.matchedOptionValue(JSON_OPTION, false))
        return ExitCode.OK
    }

    /** Returns the report of [logs], limited to one [team] unless that is null. */
    private fun read(logs: List<Path>, team: String?): MoveLogReport {
        val lines = logs.flatMap { log ->
            log.useLines { lines -> lines.filter(MoveReport::isMarked).toList() }
        }
        val report = MoveReport.of(lines.asSequence())
        if (team == null) return report
        return report.copy(teams = report.teams.filter { it.team == team })
    }

    private fun print(report: MoveLogReport, asJson: Boolean) {
        if (asJson) {
            println(prettyJson.encodeToString(MoveLogReport.serializer(), report))
        } else {
            MoveReport.text(report).forEach(::println)
        }
    }
}
