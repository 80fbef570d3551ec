package io.otterknot.store

import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.leadership.FencedTransactions
import io.otterknot.partition.Partition
import io.otterknot.records.StoreKeys
import io.otterknot.testing.FakeKeyValueStore
import io.otterknot.testing.StoreFixture
import io.otterknot.testing.leadership
import io.otterknot.testing.startLeadership
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
 * Behaviour when the store refuses a value or a transaction as too large although it is within the settings.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class WriteLimitsTest {
    private fun value(bytes: Int) = JsonPrimitive("x".repeat(bytes - 2))

    @ParameterizedTest
    @CsvSource("1,4000,3000,40", "1,1100,1024,40", "2,4000,8192,1", "16,100,8192,8", "17,100,8192,8")
    fun `a refusal halves the number of several changes and reduces the size of a single one`(
        count: Int,
        bytes: Int,
        maxValueBytes: Int,
        maxChanges: Int,
    ) {
        val limits = WriteLimits(8_192, 40)
        limits.reduceAfterRefusal(List(count) { KeyChange(put = "k$it", value = value(bytes)) })
        assertEquals(maxValueBytes to maxChanges, limits.maxValueBytes to limits.maxTransactionChanges)
    }

    @Test
    fun `limits count bytes, not characters`() {
        val limits = WriteLimits(1_024, 4)
        assertTrue(limits.fits(KeyChange(put = "k", value = JsonPrimitive("l".repeat(1_000)))))
        assertTrue(!limits.fits(KeyChange(put = "k", value = JsonPrimitive("ł".repeat(1_000)))))
    }

    @Test
    fun `a value that is refused as too large blocks only the writes that depend on it`() = runTest {
        val fixture = StoreFixture(this)
        val background = launch { fixture.replica.followWatch() }
        fixture.replica.awaitLoaded()
        fixture.state.maxValueBytes = 1_500
        fixture.state.maxTransactionChanges = 3
        val writer = BatchWriter(fixture.client, fixture.replica, Random(1), WriteLimits(8_192, 40)) {
            testScheduler.currentTime
        }
        val small = (1..9).map { PendingWrite("o/d/a/$it", value(100)) }
        val large = PendingWrite("o/m/a/0", value(2_000))
        val dependent = PendingWrite("o/m/a/1", value(200), dependsOn = setOf(large.key))
        val chained = PendingWrite("o/m/a/2", value(200), dependsOn = setOf(dependent.key))
        val writes = listOf(large, dependent, chained) + small
        while (testScheduler.currentTime < 4_000 && writer.write(VersionCondition("o/p/a", 0), writes) {}) Unit
        assertTrue(small.all { fixture.state.value(it.key) != null }, "independent writes are not blocked")
        val blockedKeys = writes.take(3).map { it.key }
        assertTrue(blockedKeys.all { fixture.state.value(it) == null }, "dependent writes wait for the refused value")
        val smaller = PendingWrite(large.key, value(1_000))
        while (writer.write(VersionCondition("o/p/a", 0), listOf(smaller, dependent, chained)) {}) Unit
        assertTrue(writes.all { fixture.state.value(it.key) != null }, "all are written once the value is smaller")
        assertTrue(testScheduler.currentTime < 7_000)
        background.cancel()
    }

    /** Guards against a value above the limit in the settings, which would be refused again and again. */
    @Test
    fun `a value above the limit in the settings is never sent and blocks no other write`() = runTest {
        val fixture = StoreFixture(this)
        val background = launch { fixture.replica.followWatch() }
        fixture.replica.awaitLoaded()
        fixture.state.maxValueBytes = 1_500
        val writer = BatchWriter(fixture.client, fixture.replica, Random(1), WriteLimits(1_500, 40)) {
            testScheduler.currentTime
        }
        val writes = listOf(PendingWrite("o/m/a/0", value(1_501)), PendingWrite("o/m/a/1", value(1_500)))
        while (writer.write(VersionCondition("o/p/a", 0), writes) {}) Unit
        assertEquals(listOf(null, value(1_500)), writes.map { fixture.state.value(it.key) })
        assertEquals(emptyList<String>(), fixture.state.rejectedForSize.toList())
        background.cancel()
    }

    /** Guards against a transaction that the store cannot accept at all. */
    @Test
    fun `a transaction above the limit of the store is not sent`() = runTest {
        val fixture = StoreFixture(this)
        val changes = (1..9).map { CompareAndSwap.put(Snapshot.absent("o/m/a/$it"), value(8_000)) }
        val outcome = fixture.client.transact(changes.reduce(CompareAndSwap::plus))
        assertTrue(outcome is TransactionOutcome.Refused && outcome.isTooLarge, "$outcome")
        assertEquals(emptyList<String>(), fixture.state.rejectedForSize.toList())
    }

    /** Answers each transaction on jobs with the next of [statuses]; null stands for no answer. */
    private fun scriptedTransport(state: FakeKeyValueStore, statuses: List<Int?>): Transport {
        val remaining = ArrayDeque(statuses)
        val link = state.link("n")
        return Transport { method, target, body, timeoutMs ->
            val isChange = target == "/txn" && body!!.decodeToString().contains(StoreKeys.JOBS)
            val status = if (isChange && remaining.isNotEmpty()) remaining.removeFirst() else 0
            when (status) {
                0 -> link.call(method, target, body, timeoutMs)
                null -> Reply.None("no answer")
                else -> Reply.Answer(status, """{"error":"refused"}""".encodeToByteArray())
            }
        }
    }

    /**
     * A transaction without an answer may be applied late. Treating it as not applied could start tasks twice, so the
     * partition's fencing token must change first.
     */
    @ParameterizedTest
    @CsvSource("400|,NOT_APPLIED", "429|503|400|,NOT_APPLIED", "|400|,LEADERSHIP_LOST", "429|,APPLIED", "||,APPLIED")
    fun `a change refused as too large counts as not applied only if no earlier attempt can still be applied`(
        answers: String,
        expected: String,
    ) = runTest {
        val statuses = answers.split('|').dropLast(1).map { it.toIntOrNull() }
        val fixture = StoreFixture(this) { scriptedTransport(it, statuses) }
        val partitions = HashMap<String, Partition>()
        val leadership = fixture.leadership("n", mapOf("n" to "a"), partitions = partitions)
        val background = launch { startLeadership(fixture, leadership) }

        fixture.replica.awaitLoaded()
        while (leadership.actingToken("a") == null) kotlinx.coroutines.delay(50)
        val token = leadership.actingToken("a")!!
        val partition = testPartition(emptyList(), fencingToken = token) { null }
        partitions["a"] = partition
        val transactions = FencedTransactions(
            fixture.client,
            fixture.replica,
            leadership,
            partitions,
            WriteLimits(8_192, 40),
            Random(1),
        )
        val settled =
            transactions.settle(partition, CompareAndSwap.put(Snapshot.absent(StoreKeys.job("j-1")), value(100)))
        assertEquals(expected, settled.name)
        kotlinx.coroutines.delay(2_000)
        val lost = expected == "LEADERSHIP_LOST"
        assertEquals(
            lost,
            leadership.actingToken("a")!! > token,
            "an attempt that may still be applied is conditional on the previous fencing token",
        )
        background.cancel()
        currentCoroutineContext().cancelChildren()
    }
}
