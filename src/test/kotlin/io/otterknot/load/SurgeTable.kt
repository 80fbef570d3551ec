package io.otterknot.load

import org.HdrHistogram.Histogram
import org.HdrHistogram.HistogramLogReader
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText

/**
 * Prints the interval logs of [SurgeLoad] as a table. Runs of one kind are directories that differ in what follows the
 * last hyphen of their names; each figure is given as the median of the runs and, in brackets, their least and most.
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
            println("$log, s: median, 95%, 99%, most; tasks or jobs")
            for (phase in PHASES) {
                for (team in teams(runs, log)) {
                    for ((kind, ofKind) in kinds) {
                        println(row(kind, team, phase, ofKind.mapNotNull { read(it.resolve(log))["$team-$phase"] }))
                    }
                }
            }
        }
        for ((kind, ofKind) in kinds) {
            println("$kind: Jain's index of the teams' shares begun ${spread(ofKind.map(::jain), "%.2f")}")
            ofKind.sorted().forEach { println("  ${it.name}: ${it.resolve("counts.txt").readText().trim()}") }
        }
    }

    private fun teams(runs: List<Path>, log: String) =
        runs.flatMap { read(it.resolve(log)).keys }.map { it.substringBefore('-') }.distinct().sorted()

    private fun read(log: Path): Map<String, Histogram> {
        val reader = HistogramLogReader(log.toFile())
        return generateSequence { reader.nextIntervalHistogram() as Histogram? }.associateBy { it.tag }
    }

    private fun row(kind: String, team: String, phase: String, runs: List<Histogram>): String {
        val figures = PERCENTILES.map { percentile ->
            spread(runs.map { it.getValueAtPercentile(percentile) / 1000.0 }, "%.1f")
        }
        return "| $kind | $team | ${phase.lowercase()} | ${figures.joinToString(" | ")} | ${runs.sumOf {
            it.totalCount
        }} |"
    }

    private fun spread(values: List<Double>, format: String): String {
        val sorted = values.sorted()
        if (sorted.isEmpty()) return "-"
        return "$format ($format to $format)".format(sorted[sorted.size / 2], sorted.first(), sorted.last())
    }

    /** Of what each team submitted during the surge, the share that began: 1 if alike, a third if one of three alone. */
    private fun jain(run: Path): Double {
        val words = run.resolve("counts.txt").readText().trim().substringAfter("begun-of-surge ").split(' ')
        val shares = words.chunked(2).map { it[1].toDouble() }
        return shares.sum() * shares.sum() / (shares.size * shares.sumOf { it * it })
    }
}
