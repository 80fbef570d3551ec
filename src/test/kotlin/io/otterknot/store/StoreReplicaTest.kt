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

/** How long a reader waits for the replica, and what that costs in requests. */
class StoreReplicaTest {
    /**
     * Readers come every 100 ms, and something is written before each: while requests are ample none waits for the
     * pause between two watches; while they are scarce, the pauses keep the node within its share (and the
     * burst of one second).
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    @ParameterizedTest
    @CsvSource("200,40,0", "12,2000,15")
    fun `what is waited for is fetched at once while requests are ample`(
        perS: Double,
        maxWaitMs: Long,
        maxRequestsPerS: Int,
    ) = runTest {
        val now = { testScheduler.currentTime }
        val state = FakeKeyValueStore(this, Random(1), now)
        var requests = 0
        val link = state.link("n")
        val counted = Transport { method, target, body, timeoutMs ->
            requests++
            link.call(method, target, body, timeoutMs)
        }
        val client = KeyValueStoreClient(counted, counted, RateLimiter(perS, 100.0, now), Metrics(now))
        val replica = StoreReplica(client, Random(1), now, pauseMs = 250)
        val background = listOf(launch { replica.followWatch() }, launch { replica.serveReadBarriers() })
        replica.awaitLoaded()
        delay(1_000)
        val startMs = currentTime
        val requestsBefore = requests
        val waits = ArrayList<Long>()
        repeat(40) {
            state.store(KeyChange(put = "o/x/a", value = JsonPrimitive(it)))
            launch {
                val entered = currentTime
                replica.awaitReadBarrier(5_000)
                waits.add(currentTime - entered)
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

    /** The read under way may have been carried out before the later question came. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a read barrier entered during another read waits for a read of its own`() = runTest {
        var answerMs = 0L
        val fixture = StoreFixture(this) { service ->
            val link = service.link("n")
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
        // Nothing of this is shown by the watch before the first barrier is through.
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
    fun `loading everything again never takes a key back to an earlier version`() = runTest {
        var old: Reply? = null
        val fixture = StoreFixture(this) { service ->
            val link = service.link("n")
            Transport { method, target, body, timeoutMs ->
                val reply = link.call(method, target, body, timeoutMs)
                if (target.startsWith("/store?")) old ?: reply.also { old = it } else reply
            }
        }
        val replica = fixture.replica
        val shown = ArrayList<Any?>()
        replica.onChange = { _, entry -> shown.add(entry?.value) }
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
        assertEquals(listOf<Any?>(JsonPrimitive(1), JsonPrimitive(2)), shown.take(2))
        background.cancel()
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a read barrier does not pass while the watch brings nothing`() = runTest {
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
