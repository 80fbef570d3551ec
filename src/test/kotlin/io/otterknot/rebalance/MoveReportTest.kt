package io.otterknot.rebalance

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Tests the report that `otterknot moves` makes from the logs of controllers. */
class MoveReportTest {
    private fun line(event: MoveEvent) = "INFO MoveJournal - ${MoveJournal.MARK}${MoveJournal.encode(event)}"

    @Test
    fun `events are aggregated by team, and lines without the mark or of newer versions are skipped`() {
        val reassignment = MoveEvent.Ended(
            "a", "red", "j-000001", MoveKind.REASSIGNMENT, MoveState.PLACED, MoveReason.SHORTER_WAIT, 4.0, 7, "b",
        )
        val stop = MoveEvent.Ended(
            "a", "red", "j-000002", MoveKind.STOP, MoveState.ABANDONED, MoveReason.GUARANTEE, 9.0, 1,
            beneficiary = "j-000003", lostCoreS = 12.5, outcome = MoveOutcome.COMPLETED_FIRST,
        )
        val summary = MoveEvent.Summary(
            "a",
            30.0,
            mapOf("blue" to mapOf(RefusalReason.WAIT_TOO_SHORT to 3)),
            mapOf(PlanningPauseReason.STORE_UNAVAILABLE to 2),
            mapOf("blue" to mapOf(WaitCause.TEAMS_ABOVE_FAIR_SHARE to 41.6)),
        )
        val unknown = "INFO MoveJournal - load-spread {\"type\":\"later\"}"
        val lines = listOf(
            "INFO Ownership - owner of a",
            line(reassignment),
            line(reassignment),
            line(stop),
            line(summary),
            unknown,
        )
        val expected = listOf(
            "team blue",
            "  left where it was 3 times: has not waited long enough",
            "  waited 42 task-seconds: other teams above their share",
            "team red",
            "  2 times a handover for shorter wait: placed, 14 tasks",
            "  1 times a stop for guarantee: abandoned (the task completed first), 1 tasks, 13 core-seconds lost",
            "no plan was made 2 times: the state service does not answer",
            "1 lines could not be read; are they of a newer version?",
        )
        assertEquals(expected, MoveReport.text(MoveReport.of(lines.asSequence())))
    }
}
