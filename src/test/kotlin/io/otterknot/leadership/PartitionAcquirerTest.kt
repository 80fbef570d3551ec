package io.otterknot.leadership

import io.otterknot.http.Transport
import io.otterknot.records.LeaderRecord
import io.otterknot.records.StoreKeys
import io.otterknot.records.encodeRecord
import io.otterknot.testing.FakeKeyValueStore
import io.otterknot.testing.StoreFixture
import io.otterknot.testing.leadership
import io.otterknot.testing.startLeadership
import io.otterknot.wire.KeyChange
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class PartitionAcquirerTest {
    private val key = StoreKeys.partition("a")

    @Test
    fun `an acquisition is not taken up if the replica shows a later one before its answer arrives`() = runTest {
        val fixture = StoreFixture(this, transport = ::takenOverBeforeTheAnswer)
        val acquiredTokens = ArrayList<Long>()
        val leadership = fixture.leadership("n", mapOf("n" to "a"), onAcquired = {
            acquiredTokens.add(it.fencingToken)
        })
        startLeadership(fixture, leadership)
        delay(10_000)
        assertEquals("other", leadership.leaderOf("a"))
        assertEquals(emptyList<Long>(), acquiredTokens)
        currentCoroutineContext().cancelChildren()
    }

    /** The answer to an acquisition arrives one second after another controller has taken the partition over. */
    private fun takenOverBeforeTheAnswer(state: FakeKeyValueStore): Transport {
        val link = state.link("n")
        return Transport { method, target, body, timeoutMs ->
            val reply = link.call(method, target, body, timeoutMs)
            val isAcquisition = target == "/txn" && """"Put":"$key"""" in body!!.decodeToString()
            if (isAcquisition) {
                val record = encodeRecord(LeaderRecord.serializer(), LeaderRecord("other", "1"))
                state.store(KeyChange(put = key, value = record))
                delay(1_000)
            }
            reply
        }
    }
}
