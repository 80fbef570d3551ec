package io.otterknot.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class ServiceLevelObjectivesTest {
    private val objectives = ServiceLevelObjectives(
        mapOf(
            "k" to listOf(
                ServiceLevelObjective.Started(8.0, 0.9),
                ServiceLevelObjective.Started(20.0, 0.9),
                ServiceLevelObjective.Finished(60.0),
                ServiceLevelObjective.Deadline(1.0),
                ServiceLevelObjective.Deadline(1.5),
            ),
        ),
    )

    @ParameterizedTest
    @CsvSource("1,0", "9,1", "25,2", "53,2", "56,4", "70,4", "95,5")
    fun `waiting job misses more objectives as it ages`(ageS: Long, missed: Int) {
        assertEquals(missed, objectives.missed(waitingJob(jobSpec(1), 0), ageS * 1000))
    }

    @Test
    fun `job of a class without objectives misses none`() {
        val job = waitingJob(jobSpec(1).copy(jobClass = "other"), 0)
        assertEquals(0, objectives.missed(job, 1_000_000))
    }

    @Test
    fun `ready share is that of the objective shorter than the boot time`() {
        assertEquals(0.9, objectives.readyShare(jobSpec(1), 30.0))
    }

    @Test
    fun `ready share is zero if every objective is longer than the boot time`() {
        assertEquals(0.0, objectives.readyShare(jobSpec(1), 5.0))
    }
}
