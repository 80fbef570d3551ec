package io.otterknot.rebalance

import io.otterknot.wire.WireJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** How many moves of one kind and reason ended in one way. */
@Serializable
data class MoveCount(
    val kind: MoveKind,
    val reason: MoveReason,
    val state: MoveState,
    val outcome: MoveOutcome?,
    val planned: Boolean,
    val moves: Int,
    val tasks: Int,
    val lostCoreS: Double,
)

/** What a log says of one team. */
@Serializable
data class TeamReport(
    val team: String,
    val moves: List<MoveCount>,
    val refused: Map<RefusalReason, Int>,
    /** Task-seconds of waiting by cause. */
    val waits: Map<WaitCause, Double>,
)

/** What the logs of controllers say of load spread. */
@Serializable
data class LogReport(
    val events: Int,
    val unreadable: Int,
    val teams: List<TeamReport>,
    val paused: Map<PauseReason, Int>,
)

/** Reads the lines of controllers' logs that load spread wrote, and adds them up by team. */
object MoveReport {
    private const val MARKED = MoveJournal.MARK + "{"

    /** Whether a line of a log is one of load spread's. */
    fun isMarked(line: String): Boolean = MARKED in line

    /** The event of one line of a log; null: the line says nothing of load spread. */
    @Throws(SerializationException::class)
    fun eventOf(line: String): MoveEvent? {
        val mark = line.indexOf(MARKED)
        if (mark < 0) return null
        return WireJson.decodeFromString(MoveEvent.serializer(), line.substring(mark + MoveJournal.MARK.length))
    }

    fun of(lines: Sequence<String>): LogReport {
        val events = ArrayList<MoveEvent>()
        var unreadable = 0
        for (line in lines) {
            try {
                eventOf(line)?.let(events::add)
            } catch (e: SerializationException) {
                unreadable++
            }
        }
        val summaries = events.filterIsInstance<MoveEvent.Summary>()
        val ended = events.filterIsInstance<MoveEvent.Ended>()
        val names = ended.map { it.team } + summaries.flatMap { it.refused.keys + it.waits.keys }
        return LogReport(
            events = events.size,
            unreadable = unreadable,
            teams = names.distinct().sorted().map { team(it, ended, summaries) },
            paused = added(summaries.map { it.paused }, Int::plus),
        )
    }

    private fun team(name: String, ended: List<MoveEvent.Ended>, summaries: List<MoveEvent.Summary>) = TeamReport(
        team = name,
        moves = ended.filter { it.team == name }.groupBy(::shapeOf).map { (shape, events) ->
            shape.copy(
                moves = events.size,
                tasks = events.sumOf { it.tasks },
                lostCoreS = Math.round(events.sumOf { it.lostCoreS } * 10) / 10.0,
            )
        }.sortedWith(compareBy({ it.kind }, { it.reason }, { it.state }, { it.outcome })),
        refused = added(summaries.mapNotNull { it.refused[name] }, Int::plus),
        waits = added(summaries.mapNotNull { it.waits[name] }, Double::plus),
    )

    private fun shapeOf(event: MoveEvent.Ended) =
        MoveCount(event.kind, event.reason, event.state, event.outcome, event.planned, 0, 0, 0.0)

    private fun <K : Comparable<K>, V : Any> added(maps: List<Map<K, V>>, plus: (V, V) -> V): Map<K, V> {
        val sum = java.util.TreeMap<K, V>()
        for (map in maps) map.forEach { (key, value) -> sum.merge(key, value, plus) }
        return sum
    }

    /** The report as an operator reads it. */
    fun text(report: LogReport): List<String> {
        if (report.events ==
            0
        ) {
            return listOf("The log says nothing of load spread. Is it off, or LOG_LEVEL below info?")
        }
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
            "no plan was made $count times: ${nameOf(PauseReason.serializer(), reason)}"
        }
        if (report.unreadable >
            0
        ) {
            lines.add("${report.unreadable} lines could not be read; are they of a newer version?")
        }
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

    /** The name of an entry as it stands in the log. */
    private fun <E : Enum<E>> nameOf(serializer: kotlinx.serialization.KSerializer<E>, entry: E): String =
        serializer.descriptor.getElementName(entry.ordinal)
}
