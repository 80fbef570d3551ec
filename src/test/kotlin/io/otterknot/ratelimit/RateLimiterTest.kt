package io.otterknot.ratelimit

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RateLimiterTest {
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `requests are spread over time and refused rather than delayed for long`() = runTest {
        val limiter = RateLimiter(10.0, 5.0, { testScheduler.currentTime })
        repeat(40) { limiter.acquire() }
        assertTrue(currentTime in 3_000..3_500, "$currentTime")
        repeat(4) { limiter.acquire(1) }
        assertTrue(!limiter.tryAcquire(5, 200))
        assertTrue(limiter.tryAcquire(1, 2_000))
    }

    /** Polls behind a long batch of completions and submissions behind queued handovers must not be refused. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `reads do not wait for changes and users do not wait for background tasks`() = runTest {
        val limiter = RateLimiter(50.0, 5.0, { testScheduler.currentTime })
        repeat(4) { launch { limiter.acquireSpare(4) } }
        repeat(4) { launch { limiter.acquireSpare(1, lowPriority = true) } }
        // Submissions in a burst make the balance of the bucket negative for a while.
        repeat(3) { launch { assertTrue(limiter.tryAcquire(3, 5_000)) } }
        testScheduler.runCurrent()
        val before = currentTime
        limiter.acquire()
        assertEquals(before, currentTime)
        delay(2_500)
        for (round in 1..6) {
            assertTrue(limiter.tryAcquire(1, 600), "submission $round")
            delay(400)
        }
    }

    /** User requests arrive in bursts: the first ones must not wait because of background tasks. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `background tasks reserve some changes for users`() = runTest {
        val limiter = RateLimiter(1_000.0, 10.0, { testScheduler.currentTime })
        repeat(3) { launch { while (currentTime < 20_000) limiter.acquireSpare(2) } }
        repeat(10) {
            delay(1_500)
            assertTrue(limiter.tryAcquire(1, 0) && limiter.tryAcquire(1, 0), "round $it")
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `the rate follows a share that grows and shrinks without a burst above it`() = runTest {
        var share = 0.2
        val limiter = RateLimiter(1_000.0, 100.0, { testScheduler.currentTime }, { RateLimitShare(share, share) })
        suspend fun changesIn(ms: Long): Int {
            val until = currentTime + ms
            var count = 0
            while (currentTime < until) {
                limiter.acquireSpare(1)
                count++
            }
            return count
        }
        changesIn(2_000)
        assertTrue(changesIn(2_000) in 38..42)
        share = 0.6
        assertTrue(changesIn(2_000) in 110..122)
        share = 0.05
        assertTrue(changesIn(2_000) in 8..16)
    }

    /** With an unannounced limit, the rate decreases until nothing is refused and increases again over time. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `refusals that the known limits do not explain lower the rate for a while`() = runTest {
        val limiter = RateLimiter(100.0, 10.0, { testScheduler.currentTime }, loweredLimits = RateLimits(100.0, 10.0))
        suspend fun secondsFor(changes: Int) = secondsFor(limiter, changes)
        secondsFor(10)
        repeat(2) { limiter.onRateRefused() }
        limiter.onRateRefused()
        secondsFor(10)
        assertEquals(2, secondsFor(20), "other controllers may not have switched to the lowered limits yet")
        delay(9_000)
        repeat(6) {
            limiter.onRateRefused()
            delay(2_100)
        }
        secondsFor(10)
        assertTrue(secondsFor(20) in 4..7, "the rate is about 0.4 of the limit")
        delay(90_000)
        secondsFor(10)
        assertEquals(2, secondsFor(20))
    }

    /** One refusal may be caused by another controller; a second one soon after shows that the limits are lower. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `lowered limits apply after two rate refusals in short succession`() = runTest {
        val limiter = RateLimiter(100.0, 10.0, { testScheduler.currentTime }, loweredLimits = RateLimits(100.0, 5.0))
        suspend fun secondsFor(changes: Int) = secondsFor(limiter, changes)
        secondsFor(10)
        assertEquals(3, secondsFor(30))
        limiter.onRateRefused()
        delay(11_000)
        limiter.onRateRefused()
        secondsFor(10)
        assertEquals(3, secondsFor(30))
        limiter.onRateRefused()
        secondsFor(10)
        assertTrue(secondsFor(30) in 5..6)
    }

    /** Returns the time that [changes] changes of background tasks take, in whole seconds of virtual time. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun TestScope.secondsFor(limiter: RateLimiter, changes: Int): Long {
        val before = currentTime
        repeat(changes) { limiter.acquireSpare(1) }
        return (currentTime - before) / 1000
    }
}
