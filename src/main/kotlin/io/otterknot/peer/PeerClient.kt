package io.otterknot.peer

import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
import io.otterknot.net.TcpConnection
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout

/**
 * Calls the controller at [address] over a connection that is reused. A connection carries one call at a time; a call
 * opens another connection if the first is in use. After a call without a response the connection is closed, because a
 * late response would be taken for the response to the next call.
 */
class PeerClient(private val loop: EventLoop, private val address: HostPort) : PeerTransport {
    private var idleConnection: TcpConnection? = null

    @Suppress("TooGenericExceptionCaught") // An unresolvable address throws an unchecked exception.
    override suspend fun call(message: PeerMessage, timeoutMs: Long): PeerMessage? {
        val reused = idleConnection
        idleConnection = null
        var connection: TcpConnection? = reused
        var isAnswered = false
        try {
            return withTimeout(timeoutMs) {
                val open = reused?.takeIf { it.isReusable } ?: TcpConnection.open(loop, address)
                if (open !== reused) reused?.close()
                connection = open
                open.sendMessage(message)
                open.receiveMessage(PeerCodec.MAX_RESPONSE_BYTES).also { isAnswered = true }
            }
        } catch (_: TimeoutCancellationException) {
            return null
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) { // Callers treat an unreachable controller like one that does not respond.
            return null
        } finally {
            if (isAnswered) idleConnection = connection else connection?.close()
        }
    }
}
