package io.otterknot.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class SoakActivityTest {
    @ParameterizedTest
    @CsvSource(
        "0, 1, 1, 1, 1, nothing_ran: no task was started",
        "1, 0, 1, 1, 1, no job was cancelled",
        "1, 1, 0, 1, 1, no partition changed its leader",
        "1, 1, 1, 0, 1, no fault was injected",
        "1, 1, 1, 1, 0, no malformed request was refused",
        "1, 1, 1, 1, 1, ",
    )
    fun `a run in which something did not happen fails`(
        starts: Int,
        cancellations: Int,
        leaderChanges: Int,
        faults: Int,
        refusals: Int,
        problem: String?,
    ) {
        val activity = SoakActivity(starts, cancellations, leaderChanges, faults, refusals)
        assertEquals(listOfNotNull(problem), activity.problems())
    }
}
