package io.otterknot.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class LeaderFailureDetectorTest {
    /**
     * With a fixed number, machines that hang and go on together would have a large partition claimed from a sound
     * leader.
     */
    @ParameterizedTest
    @CsvSource("6,3,3", "16,3,3", "315,5,24", "250,3,38", "470,5,36")
    fun `how many departures speak against a leader grows with its partition`(
        machines: Int,
        controllers: Int,
        departures: Int,
    ) = assertEquals(departures, departuresOfFailure(machines, controllers))
}
