package io.otterknot.rebalance

import io.otterknot.wire.WireJson
import org.slf4j.LoggerFactory

/** Logs the moves of one partition and summaries of refusals, pauses and waits; `otterknot moves` parses them. */
class MoveJournal(private val zone: String, private var sinceMs: Long, private val observeOnly: Boolean) {
    private val log = LoggerFactory.getLogger(MoveJournal::class.java)
    private val refused = HashMap<String, HashMap<RefusalReason, Int>>()
    private val paused = HashMap<PlanningPauseReason, Int>()
    private val waits = HashMap<String, HashMap<WaitCause, Double>>()

    /** Number of moves ended since this journal was created, by kind and state. */
    val endedMoveCounts = HashMap<Pair<MoveKind, MoveState>, Int>()

    /** Logs a move whose execution starts. */
    fun proposed(move: Move) {
        log.debug("partition={} move={} move proposed", zone, move)
    }

    /** Logs a move that is not tracked: only planned, abandoned before it started, or a reassignment. */
    fun ended(move: Move, state: MoveState, outcome: MoveOutcome?, tasks: Int = 1) =
        logEnded(event(move, state, outcome, tasks, null, null))

    /** Logs a tracked move that has reached a final state. */
    fun ended(open: OpenMove, now: Long) =
        logEnded(event(open.move, open.state, open.outcome, 1, open.placedOn, open.elapsedMs(now)))

    private fun event(
        move: Move,
        state: MoveState,
        outcome: MoveOutcome?,
        tasks: Int,
        placedOn: String?,
        tookMs: Long?,
    ) = MoveEvent.Ended(
        zone = zone,
        team = move.team,
        job = move.job,
        kind = if (move is Move.Reassignment) MoveKind.REASSIGNMENT else MoveKind.STOP,
        state = state,
        reason = move.reason,
        gainS = rounded(move.gainS),
        tasks = tasks,
        target = (move as? Move.Reassignment)?.target ?: placedOn,
        beneficiary = (move as? Move.Stop)?.beneficiary,
        lostCoreS = rounded((move as? Move.Stop)?.lostCoreS ?: 0.0),
        outcome = outcome,
        tookMs = tookMs,
        planned = observeOnly,
    )

    private fun logEnded(event: MoveEvent.Ended) {
        endedMoveCounts.merge(event.kind to event.state, 1, Int::plus)
        if (log.isInfoEnabled) log.info("{}{}", MARK, encode(event))
    }

    /** Counts [refusals] for the next summary. */
    fun refused(refusals: List<MoveRefusal>) {
        for (refusal in refusals) {
            refused.getOrPut(refusal.team) { HashMap() }.merge(refusal.reason, 1, Int::plus)
        }
    }

    /** Counts a skipped planning round for the next summary. */
    fun paused(reason: PlanningPauseReason) {
        paused.merge(reason, 1, Int::plus)
    }

    /** Adds [taskSeconds] that tasks of [team] waited because of [cause] to the next summary. */
    fun waited(team: String, cause: WaitCause, taskSeconds: Double) {
        if (taskSeconds > 0) waits.getOrPut(team) { HashMap() }.merge(cause, taskSeconds, Double::plus)
    }

    /** Logs and resets the counts since the last summary if [SUMMARY_INTERVAL_MS] have elapsed. */
    fun logSummaryIfDue(now: Long) {
        if (now - sinceMs < SUMMARY_INTERVAL_MS) return
        val isSummaryEmpty = refused.isEmpty() && paused.isEmpty() && waits.isEmpty()
        if (!isSummaryEmpty && log.isInfoEnabled) log.info("{}{}", MARK, encode(summary(now)))
        sinceMs = now
        refused.clear()
        paused.clear()
        waits.clear()
    }

    private fun summary(now: Long) = MoveEvent.Summary(
        zone = zone,
        seconds = rounded((now - sinceMs) / 1000.0),
        refused = refused.mapValues { (_, reasons) -> reasons.toSortedMap() }.toSortedMap(),
        paused = paused.toSortedMap(),
        waits = waits.mapValues { (_, causes) -> causes.mapValues { rounded(it.value) }.toSortedMap() }.toSortedMap(),
    )

    companion object {
        /** Prefix of the JSON in a log line. It is part of the log format and must not change. */
        const val MARK = "load-spread "
        private const val SUMMARY_INTERVAL_MS = 30_000L

        /** Encodes [event] as the JSON that follows [MARK] in a log line. */
        fun encode(event: MoveEvent): String = WireJson.encodeToString(MoveEvent.serializer(), event)

        private fun rounded(value: Double) = Math.round(value * 10) / 10.0
    }
}
