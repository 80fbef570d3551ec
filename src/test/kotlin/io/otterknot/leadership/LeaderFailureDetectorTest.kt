package io.otterknot.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class LeaderFailureDetectorTest {
    /**
     * With a fixed number, machines of a large partition that hang and resume together would cause a forced takeover
     * from a leader that works.
     */
    @ParameterizedTest
    @CsvSource("6,3,3", "16,3,3", "315,5,24", "250,3,38", "470,5,36")
    fun `the number of departures that counts as a leader failure grows with the partition`(
        machines: Int,
        controllers: Int,
        departures: Int,
    ) = assertEquals(departures, failureDepartureThreshold(machines, controllers))
}
