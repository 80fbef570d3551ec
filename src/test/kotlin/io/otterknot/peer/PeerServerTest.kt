package io.otterknot.peer

import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.params.ParameterizedTest
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

    private fun withServer(
        respond: suspend (PeerMessage) -> PeerMessage,
        test: suspend CoroutineScope.(EventLoop, HostPort) -> Unit,
    ) = EventLoop().use { loop ->
        loop.run {
            val address = HostPort("127.0.0.1", ServerSocket(0).use { it.localPort })
            val server = launch { PeerServer(loop, respond).serve(this, address) }
            delay(LISTEN_DELAY_MS)
            test(loop, address)
            server.cancel()
        }
    }

    companion object {
        private const val CALL_TIMEOUT_MS = 10_000L
        private const val LISTEN_DELAY_MS = 10L
        private val ANSWER = PeerMessage.IdlePartitionCount(1, true)

        @JvmStatic
        fun failures() = listOf(IllegalStateException("thrown by the test"), StackOverflowError("thrown by the test"))
    }
}
