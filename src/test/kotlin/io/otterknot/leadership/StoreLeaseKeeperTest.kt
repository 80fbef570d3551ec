package io.otterknot.leadership

import io.otterknot.testing.StoreFixture
import io.otterknot.testing.leadership
import io.otterknot.testing.startLeadership
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

@OptIn(ExperimentalCoroutinesApi::class)
class StoreLeaseKeeperTest {
    @Test
    fun `a requested confirmation does not wait for the next renewal and is not older than the request`() = runTest {
        val fixture = StoreFixture(this)
        val leadership = fixture.leadership("n", mapOf("n" to "a"))
        startLeadership(fixture, leadership)
        while (leadership.actingToken("a") == null) delay(50)
        delay(4_000)
        val requestedMs = fixture.now()
        leadership.confirmation.request()
        delay(700)
        assertTrue(leadership.confirmation.confirmedMs >= requestedMs)
        currentCoroutineContext().cancelChildren()
    }

    @Test
    fun `a leader that the store refuses is not confirmed`() = runTest {
        val fixture = StoreFixture(this)
        val leadership = fixture.leadership("n", mapOf("n" to "a"))
        startLeadership(fixture, leadership)
        while (leadership.actingToken("a") == null) delay(50)
        delay(4_000)
        fixture.state.refusedNode = "n"
        val confirmedMs = leadership.confirmation.confirmedMs
        repeat(20) {
            leadership.confirmation.request()
            delay(500)
        }
        assertEquals(confirmedMs, leadership.confirmation.confirmedMs)
        currentCoroutineContext().cancelChildren()
    }
}
