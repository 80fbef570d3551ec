package io.otterknot.store

import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.metrics.Metrics
import io.otterknot.ratelimit.RateLimiter
import io.otterknot.testing.FakeKeyValueStore
import io.otterknot.testing.StoreFixture
import io.otterknot.wire.KeyChange
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random

/** Latency of read barriers, the number of store requests that they cause, and the order of the replica's changes. */
class StoreReplicaTest {
    /**
     * A reader enters every 100 ms, after a write. While requests are ample, no reader waits for the pause between two
     * watches. While they are scarce, the pauses keep the controller within its share of the rate limit, including the
     * burst of one second.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    @ParameterizedTest
    @CsvSource("200,40,0", "12,2000,15")
    fun `changes that a reader waits for are fetched without a pause while requests are ample`(
        perS: Double,
        maxWaitMs: Long,
        maxRequestsPerS: Int,
    ) = runTest {
        val now = { testScheduler.currentTime }
        val store = FakeKeyValueStore(this, Random(1), now)
        var requests = 0
        val link = store.link("n")
        val countingTransport = Transport { method, target, body, timeoutMs ->
            requests++
            link.call(method, target, body, timeoutMs)
        }
        val client =
            KeyValueStoreClient(countingTransport, countingTransport, RateLimiter(perS, 100.0, now), Metrics(now))
        val replica = StoreReplica(client, Random(1), now, pauseMs = 250)
        val background = listOf(launch { replica.followWatch() }, launch { replica.serveReadBarriers() })
        replica.awaitLoaded()
        delay(1_000)
        val startMs = currentTime
        val requestsBefore = requests
        val waits = ArrayList<Long>()
        repeat(40) {
            store.store(KeyChange(put = "o/x/a", value = JsonPrimitive(it)))
            launch {
                val startedMs = currentTime
                replica.awaitReadBarrier(5_000)
                waits.add(currentTime - startedMs)
            }
            delay(100)
        }
        val seconds = (currentTime - startMs) / 1000.0
        val sent = requests - requestsBefore
        if (maxRequestsPerS > 0) assertTrue(sent / seconds <= maxRequestsPerS, "$sent requests")
        while (waits.size < 40) delay(50)
        assertEquals(emptyList<Long>(), waits.filter { it > maxWaitMs })
        background.forEach { it.cancel() }
    }

    /** The store may have served the read in flight before the second caller entered the barrier. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a read barrier entered during another read waits for a read of its own`() = runTest {
        var answerMs = 0L
        val fixture = StoreFixture(this) { store ->
            val link = store.link("n")
            Transport { method, target, body, timeoutMs ->
                link.call(method, target, body, timeoutMs).also { if (target == "/store/o/none") delay(answerMs) }
            }
        }
        val replica = fixture.replica
        val background = listOf(launch { replica.followWatch() }, launch { replica.serveReadBarriers() })
        replica.awaitLoaded()
        answerMs = 400
        val first = async { replica.awaitReadBarrier(5_000) }
        delay(100)
        // The watch does not deliver this change before the first barrier has passed.
        fixture.state.stalledWatchNode = "n"
        fixture.state.store(KeyChange(put = "o/x/a", value = JsonPrimitive(7)))
        val second = async { replica.awaitReadBarrier(5_000) to replica["o/x/a"]?.value }
        assertTrue(first.await())
        fixture.state.stalledWatchNode = null
        assertEquals(true to JsonPrimitive(7), second.await())
        background.forEach { it.cancel() }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a reload from an earlier revision does not return a key to an earlier version`() = runTest {
        var firstPage: Reply? = null
        val fixture = StoreFixture(this) { store ->
            val link = store.link("n")
            Transport { method, target, body, timeoutMs ->
                val reply = link.call(method, target, body, timeoutMs)
                if (target.startsWith("/store?")) firstPage ?: reply.also { firstPage = it } else reply
            }
        }
        val replica = fixture.replica
        val observedValues = ArrayList<Any?>()
        replica.onChange = { _, entry -> observedValues.add(entry?.value) }
        fixture.state.store(KeyChange(put = "o/x/a", value = JsonPrimitive(1)))
        val background = launch { replica.followWatch() }
        replica.awaitLoaded()
        delay(100)
        fixture.state.store(KeyChange(put = "o/x/a", value = JsonPrimitive(2)))
        delay(1_000)
        fixture.state.keptChanges = 1
        repeat(3) { fixture.state.store(KeyChange(put = "o/x/b", value = JsonPrimitive(it))) }
        delay(3_000)
        assertEquals(JsonPrimitive(2), replica["o/x/a"]?.value)
        assertEquals(listOf<Any?>(JsonPrimitive(1), JsonPrimitive(2)), observedValues.take(2))
        background.cancel()
    }

    /**
     * Guards against the changes of a long outage, which fill the heap when they are decoded, or are requested again
     * and again if they are refused.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `after more changes than a response may have, all keys are read by pages`() = runTest {
        var watchRequests = 0
        val fixture = StoreFixture(this, watchTransport = { store ->
            val link = store.link("n")
            Transport { method, target, body, timeoutMs ->
                watchRequests++
                val reply = link.call(method, target, body, timeoutMs)
                val isTooLarge = reply is Reply.Answer && reply.body.size > 1_000
                if (isTooLarge) Reply.None("too large", isTooLarge = true) else reply
            }
        })
        val replica = fixture.replica
        val background = launch { replica.followWatch() }
        replica.awaitLoaded()
        fixture.state.stalledWatchNode = "n"
        repeat(100) { fixture.state.store(KeyChange(put = "o/x/$it", value = JsonPrimitive(it))) }
        fixture.state.stalledWatchNode = null
        watchRequests = 0
        delay(1_000)
        assertEquals(JsonPrimitive(99), replica["o/x/99"]?.value)
        assertEquals(fixture.state.revision, replica.revision)
        fixture.state.store(KeyChange(put = "o/x/a", value = JsonPrimitive(7)))
        delay(1_000)
        assertEquals(JsonPrimitive(7), replica["o/x/a"]?.value)
        assertTrue(watchRequests <= 3, "$watchRequests watches")
        background.cancel()
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a read barrier does not pass while the watch delivers no events`() = runTest {
        val fixture = StoreFixture(this)
        val replica = fixture.replica
        val background = listOf(launch { replica.followWatch() }, launch { replica.serveReadBarriers() })
        replica.awaitLoaded()
        fixture.state.stalledWatchNode = "n"
        fixture.state.store(KeyChange(put = "o/x/a", value = JsonPrimitive(1)))
        assertFalse(replica.awaitReadBarrier(5_000))
        fixture.state.stalledWatchNode = null
        assertTrue(replica.awaitReadBarrier(5_000))
        assertEquals(JsonPrimitive(1), replica["o/x/a"]?.value)
        background.forEach { it.cancel() }
    }
}
