package io.otterknot.rebalance

import io.otterknot.wire.WireJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.slf4j.LoggerFactory

/** What a line of a controller's log says of load spread; `otterknot moves` reads such lines. */
@Serializable
sealed interface MoveEvent {
    /** A move has ended. */
    @Serializable
    @SerialName("move")
    data class Ended(
        val zone: String,
        val team: String,
        val job: String,
        val kind: MoveKind,
        val state: MoveState,
        val reason: MoveReason,
        val gainS: Double,
        /** How many tasks were moved. */
        val tasks: Int,
        val target: String? = null,
        val beneficiary: String? = null,
        val lostCoreS: Double = 0.0,
        val outcome: MoveOutcome? = null,
        val tookMs: Long? = null,
        /** It was only planned, since load spread observes. */
        val planned: Boolean = false,
    ) : MoveEvent

    /** What was refused, why nothing was planned, and where work waited, since the last such line. */
    @Serializable
    @SerialName("summary")
    data class Summary(
        val zone: String,
        val seconds: Double,
        /** By team: how often a job of it was looked at and left where it was, by reason. */
        val refused: Map<String, Map<RefusalReason, Int>> = emptyMap(),
        /** How many plans were not made, by reason. */
        val paused: Map<PauseReason, Int> = emptyMap(),
        /** By team: task-seconds of waiting, by cause. */
        val waits: Map<String, Map<WaitCause, Double>> = emptyMap(),
    ) : MoveEvent
}

@Serializable
enum class MoveKind {
    @SerialName("handover")
    HANDOVER,

    @SerialName("stop")
    STOP,
}

/** Tells in the log which moves of a partition were made, refused and why. */
class MoveJournal(private val zone: String, private var sinceMs: Long, private val onlyPlans: Boolean) {
    private val log = LoggerFactory.getLogger(MoveJournal::class.java)
    private val refused = HashMap<String, HashMap<RefusalReason, Int>>()
    private val paused = HashMap<PauseReason, Int>()
    private val waits = HashMap<String, HashMap<WaitCause, Double>>()

    /** How many moves ended in each state; tests count them. */
    val ends = HashMap<Pair<MoveKind, MoveState>, Int>()

    fun proposed(move: Move) {
        log.debug("{}: {}", zone, move)
    }

    /** A move that nothing follows: planned only, or over at once. */
    fun ended(move: Move, state: MoveState, outcome: MoveOutcome?, tasks: Int = 1) =
        tell(event(move, state, outcome, tasks, null, null))

    fun ended(open: OpenMove, now: Long) =
        tell(event(open.move, open.state, open.outcome, 1, open.placedOn, open.tookMs(now)))

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
        kind = if (move is Move.HandOver) MoveKind.HANDOVER else MoveKind.STOP,
        state = state,
        reason = move.reason,
        gainS = rounded(move.gainS),
        tasks = tasks,
        target = (move as? Move.HandOver)?.target ?: placedOn,
        beneficiary = (move as? Move.Stop)?.beneficiary,
        lostCoreS = rounded((move as? Move.Stop)?.lostCoreS ?: 0.0),
        outcome = outcome,
        tookMs = tookMs,
        planned = onlyPlans,
    )

    private fun tell(event: MoveEvent.Ended) {
        ends.merge(event.kind to event.state, 1, Int::plus)
        if (log.isInfoEnabled) log.info("{}{}", MARK, encode(event))
    }

    fun refused(refusals: List<Refusal>) {
        for (refusal in refusals) {
            refused.getOrPut(refusal.team) { HashMap() }.merge(refusal.reason, 1, Int::plus)
        }
    }

    fun paused(reason: PauseReason) {
        paused.merge(reason, 1, Int::plus)
    }

    /** So many tasks of [team] waited for so long because of [cause]. */
    fun waited(team: String, cause: WaitCause, taskSeconds: Double) {
        if (taskSeconds > 0) waits.getOrPut(team) { HashMap() }.merge(cause, taskSeconds, Double::plus)
    }

    /** Tells now and then what has added up. */
    fun summariseNowAndThen(now: Long) {
        if (now - sinceMs < SUMMARY_MS) return
        val isQuiet = refused.isEmpty() && paused.isEmpty() && waits.isEmpty()
        if (!isQuiet && log.isInfoEnabled) log.info("{}{}", MARK, encode(summary(now)))
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
        /** What stands before the JSON in a line of the log. */
        const val MARK = "load-spread "
        private const val SUMMARY_MS = 30_000L

        fun encode(event: MoveEvent): String = WireJson.encodeToString(MoveEvent.serializer(), event)

        private fun rounded(value: Double) = Math.round(value * 10) / 10.0
    }
}
