package io.otterknot.rebalance

import io.otterknot.wire.WireJson
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.util.TreeMap

/** Parses the lines that [MoveJournal] writes to controllers' logs and aggregates them by team (`otterknot moves`). */
object MoveReport {
    private const val MARKED_JSON_START = MoveJournal.MARK + "{"
    private const val NO_EVENTS = "The log says nothing of load spread. Is it off, or LOG_LEVEL below info?"

    /** Whether [line] was written by [MoveJournal]. */
    fun isMarked(line: String): Boolean = MARKED_JSON_START in line

    /** Parses the event in a log [line]; returns null if [MoveJournal] did not write the line. */
    @Throws(SerializationException::class)
    fun eventOf(line: String): MoveEvent? {
        val mark = line.indexOf(MARKED_JSON_START)
        if (mark < 0) return null
        return WireJson.decodeFromString(MoveEvent.serializer(), line.substring(mark + MoveJournal.MARK.length))
    }

    /** Aggregates the events in [lines] by team; skips lines without [MoveJournal.MARK]. */
    fun of(lines: Sequence<String>): MoveLogReport {
        val events = ArrayList<MoveEvent>()
        var unreadable = 0
        for (line in lines) {
            try {
                eventOf(line)?.let(events::add)
            } catch (expected: SerializationException) {
                // Probably written by a newer version; the report contains the number of such lines.
                unreadable++
            }
        }
        val summaries = events.filterIsInstance<MoveEvent.Summary>()
        val ended = events.filterIsInstance<MoveEvent.Ended>()
        val teamNames = ended.map { it.team } + summaries.flatMap { it.refused.keys + it.waits.keys }
        return MoveLogReport(
            events = events.size,
            unreadable = unreadable,
            teams = teamNames.distinct().sorted().map { team(it, ended, summaries) },
            paused = mergeCounts(summaries.map { it.paused }, Int::plus),
        )
    }

    private fun team(name: String, ended: List<MoveEvent.Ended>, summaries: List<MoveEvent.Summary>) = TeamReport(
        team = name,
        moves = ended.filter { it.team == name }.groupBy(::categoryOf).map { (category, events) ->
            category.copy(
                moves = events.size,
                tasks = events.sumOf { it.tasks },
                lostCoreS = Math.round(events.sumOf { it.lostCoreS } * 10) / 10.0,
            )
        }.sortedWith(compareBy({ it.kind }, { it.reason }, { it.state }, { it.outcome })),
        refused = mergeCounts(summaries.mapNotNull { it.refused[name] }, Int::plus),
        waits = mergeCounts(summaries.mapNotNull { it.waits[name] }, Double::plus),
    )

    private fun categoryOf(event: MoveEvent.Ended) =
        MoveCount(event.kind, event.reason, event.state, event.outcome, event.planned, 0, 0, 0.0)

    private fun <K : Comparable<K>, V : Any> mergeCounts(maps: List<Map<K, V>>, plus: (V, V) -> V): Map<K, V> {
        val sum = TreeMap<K, V>()
        for (map in maps) map.forEach { (key, value) -> sum.merge(key, value, plus) }
        return sum
    }

    /** Formats the report as plain text, one element per line. */
    fun text(report: MoveLogReport): List<String> {
        if (report.events == 0) return listOf(NO_EVENTS)
        val lines = ArrayList<String>()
        for (team in report.teams) {
            lines.add("team ${team.team}")
            team.moves.mapTo(lines, ::textOf)
            team.refused.entries.sortedByDescending { it.value }.mapTo(lines) { (reason, count) ->
                "  left where it was $count times: ${nameOf(RefusalReason.serializer(), reason)}"
            }
            team.waits.entries.sortedByDescending { it.value }.mapTo(lines) { (cause, seconds) ->
                "  waited %.0f task-seconds: %s".format(seconds, nameOf(WaitCause.serializer(), cause))
            }
        }
        report.paused.mapTo(lines) { (reason, count) ->
            "no plan was made $count times: ${nameOf(PlanningPauseReason.serializer(), reason)}"
        }
        val hasUnreadable = report.unreadable > 0
        if (hasUnreadable) lines.add("${report.unreadable} lines could not be read; are they of a newer version?")
        return lines
    }

    private fun textOf(count: MoveCount): String {
        val kind = nameOf(MoveKind.serializer(), count.kind)
        val state = if (count.planned) "planned only" else nameOf(MoveState.serializer(), count.state)
        val outcome = count.outcome?.let { " (${nameOf(MoveOutcome.serializer(), it)})" }.orEmpty()
        val lost = if (count.lostCoreS > 0) ", %.0f core-seconds lost".format(count.lostCoreS) else ""
        val reason = nameOf(MoveReason.serializer(), count.reason)
        return "  ${count.moves} times a $kind for $reason: $state$outcome, ${count.tasks} tasks$lost"
    }

    /** Returns the serial name of an enum entry, as written to the log. */
    private fun <E : Enum<E>> nameOf(serializer: KSerializer<E>, entry: E): String =
        serializer.descriptor.getElementName(entry.ordinal)
}
