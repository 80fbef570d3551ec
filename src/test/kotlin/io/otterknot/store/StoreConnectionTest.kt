package io.otterknot.store

import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.peer.PeerMessage
import io.otterknot.peer.PeerRelay
import io.otterknot.peer.PeerTransport
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random

/**
 * What a transaction is said to have come to when its node may have to ask by way of another controller. Only an answer of
 * the state service itself says that it was not carried out, and after no answer it is not sent once more.
 */
class StoreConnectionTest {
    private var clockMs = 0L

    private fun reply(text: String): Reply =
        text.toIntOrNull()?.let { Reply.Answer(it, ByteArray(0)) } ?: Reply.None(text)

    private fun text(reply: Reply) = if (reply is Reply.Answer) reply.status.toString() else "none"

    /** The other controller's answer to a request that it carries; status 0: it got none; null: it is lost itself. */
    private fun peer(carried: String, onCarry: () -> Unit) = PeerTransport { message, _ ->
        if (message !is PeerMessage.RelayRequest) {
            return@PeerTransport PeerMessage.IdlePartitionCount(0, isStoreReachable = carried != "unsound")
        }
        onCarry()
        if (carried == "lost") null else PeerMessage.RelayResponse(carried.toIntOrNull() ?: 0, ByteArray(0))
    }

    /** [failures]: how often the state service has refused this node before; two of them, apart, and it counts as lost. */
    @ParameterizedTest
    @CsvSource(
        // failures, direct, carried: reply, sent directly, carried
        "0, 200, 200, 200, 1, 0",
        "0, none, 200, none, 1, 0",
        "0, 503, 200, 503, 1, 0",
        "1, 503, 200, 200, 1, 1",
        "1, 503, lost, none, 1, 1",
        "1, 503, 0, none, 1, 1",
        "1, 503, 409, 409, 1, 1",
        "1, none, 200, none, 1, 0",
        "2, 200, 200, 200, 0, 1",
        "2, 200, lost, none, 0, 1",
        "2, 200, 0, none, 0, 1",
        "2, 200, 503, 503, 0, 1",
        "2, 200, unsound, 200, 1, 0",
        "2, none, unsound, none, 1, 0",
    )
    fun `what was not answered is neither sent again nor taken for refused`(
        failures: Int,
        direct: String,
        carried: String,
        expected: String,
        sentDirectly: Int,
        carriedOn: Int,
    ) = runTest {
        val health = StoreHealth { clockMs }
        repeat(failures) {
            health.recordReply(reply("503"))
            clockMs += 500
        }
        var sent = 0
        var asked = 0
        val directTransport = Transport { _, _, _, _ ->
            sent++
            reply(direct)
        }
        val relays = RelayPool(listOf(PeerRelay(peer(carried) { asked++ })), Random(1)) { clockMs }
        val outcome = StoreConnection(directTransport, health, relays).call("POST", "/txn", ByteArray(0), 1_000)
        assertEquals(listOf(expected, sentDirectly, carriedOn), listOf(text(outcome), sent, asked))
    }
}
