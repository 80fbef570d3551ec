package io.otterknot.store

import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.leadership.FencedTransactions
import io.otterknot.partition.Partition
import io.otterknot.records.StoreKeys
import io.otterknot.testing.FakeKeyValueStore
import io.otterknot.testing.StoreFixture
import io.otterknot.testing.leadership
import io.otterknot.testing.testPartition
import io.otterknot.wire.KeyChange
import io.otterknot.wire.VersionCondition
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random

/**
 * What follows when the state service refuses a value or a transaction for its size, although the settings allow it.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class WriteLimitsTest {
    private fun value(bytes: Int) = JsonPrimitive("x".repeat(bytes - 2))

    @ParameterizedTest
    @CsvSource("1,4000,3000,40", "1,1100,1024,40", "2,4000,8192,1", "16,100,8192,8", "17,100,8192,8")
    fun `several changes are halved in number, a single one in size`(count: Int, bytes: Int, value: Int, ops: Int) {
        val limits = WriteLimits(8_192, 40)
        limits.reduceAfterRefusal(List(count) { KeyChange(put = "k$it", value = value(bytes)) })
        assertEquals(value to ops, limits.maxValueBytes to limits.maxTransactionChanges)
    }

    @Test
    fun `limits count bytes, not characters`() {
        val limits = WriteLimits(1_024, 4)
        assertTrue(limits.fits(KeyChange(put = "k", value = JsonPrimitive("l".repeat(1_000)))))
        assertTrue(!limits.fits(KeyChange(put = "k", value = JsonPrimitive("ł".repeat(1_000)))))
    }

    @Test
    fun `one value that is refused holds up only what depends on it`() = runTest {
        val bench = StoreFixture(this)
        val follower = launch { bench.replica.followWatch() }
        bench.replica.awaitLoaded()
        bench.state.maxValueBytes = 1_500
        bench.state.maxTransactionChanges = 3
        val writer =
            BatchWriter(bench.client, bench.replica, Random(1), WriteLimits(8_192, 40)) { testScheduler.currentTime }
        val small = (1..9).map { PendingWrite("o/d/a/$it", value(100)) }
        val large = PendingWrite("o/m/a/0", value(2_000))
        val dependent = PendingWrite("o/m/a/1", value(200), dependsOn = setOf(large.key))
        val chained = PendingWrite("o/m/a/2", value(200), dependsOn = setOf(dependent.key))
        val writes = listOf(large, dependent, chained) + small
        while (testScheduler.currentTime < 4_000 && writer.write(VersionCondition("o/p/a", 0), writes) {}) Unit
        assertTrue(small.all { bench.state.value(it.key) != null }, "the others are written")
        val heldUpKeys = writes.take(3).map { it.key }
        assertTrue(heldUpKeys.all { bench.state.value(it) == null }, "nothing is given up that nobody has taken")
        val smaller = PendingWrite(large.key, value(1_000))
        while (writer.write(VersionCondition("o/p/a", 0), listOf(smaller, dependent, chained)) {}) Unit
        assertTrue(writes.all { bench.state.value(it.key) != null }, "once it is smaller, all are written at once")
        assertTrue(testScheduler.currentTime < 7_000)
        follower.cancel()
    }

    /** Answers each transaction with the next status; null: no answer comes. */
    private fun script(state: FakeKeyValueStore, statuses: List<Int?>): Transport {
        val left = ArrayDeque(statuses)
        val link = state.link("n")
        return Transport { method, target, body, timeoutMs ->
            val isChange = target == "/txn" && body!!.decodeToString().contains(StoreKeys.JOBS)
            val status = if (isChange && left.isNotEmpty()) left.removeFirst() else 0
            when (status) {
                0 -> link.call(method, target, body, timeoutMs)
                null -> Reply.None("lost")
                else -> Reply.Answer(status, """{"error":"trouble"}""".encodeToByteArray())
            }
        }
    }

    /** A transaction without an answer may be carried out late: to go on as if it were not could start tasks twice. */
    @ParameterizedTest
    @CsvSource("400|,NOT_APPLIED", "429|503|400|,NOT_APPLIED", "|400|,LEADERSHIP_LOST", "429|,APPLIED", "||,APPLIED")
    fun `a change refused for its size is settled only if no earlier try of it may still come`(
        answers: String,
        expected: String,
    ) = runTest {
        val statuses = answers.split('|').dropLast(1).map { it.toIntOrNull() }
        val bench = StoreFixture(this) { script(it, statuses) }
        val partitions = HashMap<String, Partition>()
        val leadership = bench.leadership("n", mapOf("n" to "a"), partitions = partitions)
        val running = launch {
            launch { bench.replica.followWatch() }
            launch { leadership.keepStoreLease() }
            launch { leadership.acquirePartitions() }
        }

        bench.replica.awaitLoaded()
        while (leadership.actingToken("a") == null) kotlinx.coroutines.delay(50)
        val token = leadership.actingToken("a")!!
        val partition = testPartition(emptyList(), fencingToken = token) { null }
        partitions["a"] = partition
        val txn =
            FencedTransactions(bench.client, bench.replica, leadership, partitions, WriteLimits(8_192, 40), Random(1))
        val settled = txn.settle(partition, CompareAndSwap.put(Snapshot.absent(StoreKeys.job("j-1")), value(100)))
        assertEquals(expected, settled.name)
        kotlinx.coroutines.delay(2_000)
        val lost = expected == "LEADERSHIP_LOST"
        assertEquals(lost, leadership.actingToken("a")!! > token, "what may still come is guarded by the token before")
        running.cancel()
        currentCoroutineContext().cancelChildren()
    }
}
