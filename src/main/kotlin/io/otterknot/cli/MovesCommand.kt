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

/** `otterknot moves`: what load spread moved, what it left where it was, and why, from controllers' logs. */
internal object MovesCommand {
    const val NAME = "moves"
    private const val LOG = "--log"
    private const val TEAM = "--team"
    private const val JSON = "--json"
    private val prettyJson = Json { prettyPrint = true }

    fun spec(): CommandSpec {
        val spec = CommandSpec.create().name(NAME)
        spec.usageMessage().description(
            "Explains from controllers' logs which work load spread moved, which it left where it was, and why.",
        )
        spec.mixinStandardHelpOptions(true)
        val log = OptionSpec.builder(
            "-l",
            LOG,
        ).paramLabel("FILE").type(List::class.java).auxiliaryTypes(Path::class.java)
        spec.addOption(log.required(true).description("a controller's log; may be given several times").build())
        val team = OptionSpec.builder(TEAM).paramLabel("TEAM").type(String::class.java)
        spec.addOption(team.description("this team alone").build())
        spec.addOption(OptionSpec.builder(JSON).type(Boolean::class.java).description("as JSON").build())
        return spec
    }

    fun execute(parsed: CommandLine.ParseResult): Int {
        val logs = parsed.matchedOptionValue<List<Path>>(LOG, emptyList())
        val team = parsed.matchedOptionValue<String?>(TEAM, null)
        val report = try {
            read(logs, team)
        } catch (e: IOException) {
            System.err.println("otterknot: cannot read ${e.message}")
            return USAGE
        }
        val asJson = parsed.matchedOptionValue(JSON, false)
        if (asJson) println(prettyJson.encodeToString(MoveLogReport.serializer(), report)) else print(report)
        return OK
    }

    private fun read(logs: List<Path>, team: String?): MoveLogReport {
        val lines = logs.flatMap { log ->
            log.useLines { lines -> lines.filter(MoveReport::isMarked).toList() }
        }
        val report = MoveReport.of(lines.asSequence())
        if (team == null) return report
        return report.copy(teams = report.teams.filter { it.team == team })
    }

    private fun print(report: MoveLogReport) = MoveReport.text(report).forEach(::println)
}
