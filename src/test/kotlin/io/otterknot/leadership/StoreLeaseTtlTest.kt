package io.otterknot.leadership

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class StoreLeaseTtlTest {
    @ParameterizedTest
    @CsvSource("10,35", "14,34", "5,60", "20,25")
    fun `an isolated leader and its workers stop before a cancelled task must have stopped`(
        leaseS: Double,
        cancelS: Double,
    ) {
        val ttl = storeLeaseTtlMs(leaseS, cancelS)
        assertTrue(ttl >= 2_000 && ttl + leaseS * 1000 < cancelS * 1000, "$ttl")
    }
}
