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
 * The outcome of a transaction that may be relayed through another controller. Only an answer of the store itself shows
 * that the transaction was not applied. A transaction without an answer may have been applied and is not sent again.
 */
class StoreConnectionTest {
    private var clockMs = 0L

    private fun reply(text: String): Reply =
        text.toIntOrNull()?.let { Reply.Answer(it, ByteArray(0)) } ?: Reply.None(text)

    private fun text(reply: Reply) = if (reply is Reply.Answer) reply.status.toString() else "none"

    /**
     * The other controller, which answers a relayed request with the status [relayed]; status 0 means that it got no
     * reply from the store. It does not reach the store if [relayed] is "unreachable", and does not answer the relayed
     * request if [relayed] is "no_answer".
     */
    private fun peer(relayed: String, onRelay: () -> Unit) = PeerTransport { message, _ ->
        if (message !is PeerMessage.RelayRequest) {
            return@PeerTransport PeerMessage.IdlePartitionCount(0, isStoreReachable = relayed != "unreachable")
        }
        onRelay()
        if (relayed == "no_answer") null else PeerMessage.RelayResponse(relayed.toIntOrNull() ?: 0, ByteArray(0))
    }

    /**
     * [failures]: number of earlier direct requests that got a 503, 500 ms apart; after two of them the store counts as
     * unreachable on the direct connection.
     */
    @ParameterizedTest
    @CsvSource(
        // failures, direct reply, relayed reply: outcome, direct requests, relayed requests
        "0, 200, 200, 200, 1, 0",
        "0, none, 200, none, 1, 0",
        "0, 503, 200, 503, 1, 0",
        "1, 503, 200, 200, 1, 1",
        "1, 503, no_answer, none, 1, 1",
        "1, 503, 0, none, 1, 1",
        "1, 503, 409, 409, 1, 1",
        "1, none, 200, none, 1, 0",
        "2, 200, 200, 200, 0, 1",
        "2, 200, no_answer, none, 0, 1",
        "2, 200, 0, none, 0, 1",
        "2, 200, 503, 503, 0, 1",
        "2, 200, unreachable, 200, 1, 0",
        "2, none, unreachable, none, 1, 0",
    )
    fun `a transaction without an answer is neither sent again nor reported as refused`(
        failures: Int,
        direct: String,
        relayed: String,
        expected: String,
        directRequests: Int,
        relayedRequests: Int,
    ) = runTest {
        val health = StoreHealth { clockMs }
        repeat(failures) {
            health.recordReply(reply("503"))
            clockMs += 500
        }
        var sentDirectly = 0
        var sentToPeer = 0
        val directTransport = Transport { _, _, _, _ ->
            sentDirectly++
            reply(direct)
        }
        val relays = RelayPool(listOf(PeerRelay(peer(relayed) { sentToPeer++ })), Random(1)) { clockMs }
        val outcome = StoreConnection(directTransport, health, relays).call("POST", "/txn", ByteArray(0), 1_000)
        assertEquals(listOf(expected, directRequests, relayedRequests), listOf(text(outcome), sentDirectly, sentToPeer))
    }
}
