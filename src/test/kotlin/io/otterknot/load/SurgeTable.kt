package io.otterknot.load

import org.HdrHistogram.Histogram
import org.HdrHistogram.HistogramLogReader
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText

/**
 * Prints the interval logs of [SurgeLoad] as a table. Each subdirectory of DIRECTORY holds the files of one run; runs
 * whose directory names are equal up to the last hyphen are of one kind. Each value is printed as the median over the
 * runs of a kind and, in parentheses, the minimum and the maximum.
 *
 *     SurgeTable DIRECTORY
 */
object SurgeTable {
    private val PERCENTILES = listOf(50.0, 95.0, 99.0, 100.0)
    private val PHASES = listOf("BEFORE", "DURING", "AFTER")

    @JvmStatic
    fun main(args: Array<String>) {
        val runs = Path.of(args[0]).listDirectoryEntries().filter { it.resolve("waits.hlog").toFile().exists() }
        val kinds = runs.groupBy { it.name.substringBeforeLast('-') }.toSortedMap()
        for (log in listOf("waits.hlog", "accepts.hlog")) {
            println("$log, in seconds: median, 95%, 99%, maximum; total number of tasks or jobs")
            for (phase in PHASES) {
                for (team in teams(runs, log)) {
                    for ((kind, runsOfKind) in kinds) {
                        println(
                            row(kind, team, phase, runsOfKind.mapNotNull { readLog(it.resolve(log))["$team-$phase"] }),
                        )
                    }
                }
            }
        }
        for ((kind, runsOfKind) in kinds) {
            println(
                "$kind: Jain's fairness index of team shares ${medianAndRange(
                    runsOfKind.map(::jainIndex),
                    "%.2f",
                )}",
            )
            runsOfKind.sorted().forEach { println("  ${it.name}: ${it.resolve("counts.txt").readText().trim()}") }
        }
    }

    private fun teams(runs: List<Path>, log: String) =
        runs.flatMap { readLog(it.resolve(log)).keys }.map { it.substringBefore('-') }.distinct().sorted()

    private fun readLog(log: Path): Map<String, Histogram> {
        val reader = HistogramLogReader(log.toFile())
        return generateSequence { reader.nextIntervalHistogram() as Histogram? }.associateBy { it.tag }
    }

    private fun row(kind: String, team: String, phase: String, runs: List<Histogram>): String {
        val cells = PERCENTILES.map { percentile ->
            medianAndRange(runs.map { it.getValueAtPercentile(percentile) / 1000.0 }, "%.1f")
        }
        val count = runs.sumOf { it.totalCount }
        return "| $kind | $team | ${phase.lowercase()} | ${cells.joinToString(" | ")} | $count |"
    }

    private fun medianAndRange(values: List<Double>, format: String): String {
        val sorted = values.sorted()
        if (sorted.isEmpty()) return "-"
        return "$format ($format to $format)".format(sorted[sorted.size / 2], sorted.first(), sorted.last())
    }

    /**
     * Returns Jain's fairness index of the teams' shares. A team's share is the fraction of its tasks submitted during
     * the surge that started. The index is 1 if the shares are equal, and 1/3 if only one of three teams has a share.
     */
    private fun jainIndex(run: Path): Double {
        val words = run.resolve("counts.txt").readText().trim().substringAfter("begun-of-surge ").split(' ')
        val shares = words.chunked(2).map { it[1].toDouble() }
        return shares.sum() * shares.sum() / (shares.size * shares.sumOf { it * it })
    }
}
