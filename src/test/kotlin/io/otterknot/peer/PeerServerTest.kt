package io.otterknot.peer

import io.otterknot.http.HttpStatus
import io.otterknot.http.Reply
import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
import io.otterknot.net.TcpConnection
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import java.net.ServerSocket

/** Tests the server and client of messages between controllers over loopback. */
class PeerServerTest {
    /** Guards against an error in the code of one message that ends the process. */
    @ParameterizedTest
    @MethodSource("failures")
    fun `a message whose processing fails gets no response, and the server goes on`(failure: Throwable) =
        withServer({ if (it is PeerMessage.IdlePartitionQuery) ANSWER else throw failure }) { loop, address ->
            val client = PeerClient(loop, address)
            assertNull(client.call(PeerMessage.TransferLeadership("a", 1), CALL_TIMEOUT_MS))
            assertEquals(ANSWER, client.call(PeerMessage.IdlePartitionQuery, CALL_TIMEOUT_MS))
        }

    /** Guards against frames that no controller sends and that fill the heap, or occupy all connections. */
    @ParameterizedTest
    @MethodSource("hostileFrames")
    fun `a frame that is too large, incomplete or malformed ends its connection`(frame: HostileFrame) =
        withServer({ ANSWER }, messageTimeoutMs = 50) { loop, address ->
            val connection = TcpConnection.open(loop, address)
            connection.send(frame.bytes)
            assertFalse(withTimeout(CALL_TIMEOUT_MS) { connection.receive() })
            connection.close()
            assertEquals(ANSWER, PeerClient(loop, address).call(PeerMessage.IdlePartitionQuery, CALL_TIMEOUT_MS))
        }

    @Test
    fun `the largest transaction can be relayed`() = withServer({ ANSWER }) { loop, address ->
        val request = PeerMessage.RelayRequest("POST", "/txn", ByteArray(MAX_TRANSACTION_BYTES), 1)
        assertEquals(ANSWER, PeerClient(loop, address).call(request, CALL_TIMEOUT_MS))
    }

    /** Guards against a response of the store that closes the connection of each relayed request for it. */
    @ParameterizedTest
    @CsvSource("0,false", "1,true")
    fun `a response of the store that is too large for a message is relayed as too large`(
        bytesAboveLimit: Int,
        isTooLarge: Boolean,
    ) {
        val stored = ByteArray(PeerCodec.MAX_RELAYED_BODY_BYTES + bytesAboveLimit)
        withServer({ PeerMessage.RelayResponse.of(HttpStatus.OK, stored) }) { loop, address ->
            val reply = PeerRelay(PeerClient(loop, address)).relay("GET", "/watch", null, CALL_TIMEOUT_MS)
            assertEquals(isTooLarge, reply is Reply.None && reply.isTooLarge)
            assertEquals(!isTooLarge, reply is Reply.Answer && reply.body.size == stored.size)
        }
    }

    class HostileFrame(private val name: String, val bytes: ByteArray) {
        override fun toString() = name
    }

    private fun withServer(
        respond: suspend (PeerMessage) -> PeerMessage,
        messageTimeoutMs: Long = MESSAGE_TIMEOUT_MS,
        test: suspend CoroutineScope.(EventLoop, HostPort) -> Unit,
    ) = EventLoop().use { loop ->
        loop.run {
            val address = HostPort("127.0.0.1", ServerSocket(0).use { it.localPort })
            val server = launch { PeerServer(loop, messageTimeoutMs, respond).serve(this, address) }
            delay(LISTEN_DELAY_MS)
            test(loop, address)
            server.cancel()
        }
    }

    companion object {
        private const val CALL_TIMEOUT_MS = 10_000L
        private const val LISTEN_DELAY_MS = 10L
        private val ANSWER = PeerMessage.IdlePartitionCount(1, true)

        /** The limit of the store on a transaction (PROTOCOL, "POST /txn"). */
        private const val MAX_TRANSACTION_BYTES = 64 * 1024

        @JvmStatic
        fun hostileFrames() = listOf(
            HostileFrame("larger than any request", byteArrayOf(0, 2, 0, 1)),
            HostileFrame("largest size there is", byteArrayOf(127, -1, -1, -1)),
            HostileFrame("negative size", byteArrayOf(-1, -1, -1, -1)),
            HostileFrame("empty", byteArrayOf(0, 0, 0, 0)),
            HostileFrame("incomplete", byteArrayOf(0, 0, 0, 9, 1)),
            HostileFrame("array beyond the end", byteArrayOf(0, 0, 0, 9, 6, 0, 0, 0, 1, 127, -1, -1, -1)),
        )

        @JvmStatic
        fun failures() = listOf(IllegalStateException("thrown by the test"), StackOverflowError("thrown by the test"))
    }
}
