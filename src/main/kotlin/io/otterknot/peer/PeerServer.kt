package io.otterknot.peer

import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
import io.otterknot.net.TcpConnection
import io.otterknot.net.TcpListener
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Responds to the messages of other controllers; messages of one connection are processed one after another. A message
 * that has begun and does not arrive completely within [messageTimeoutMs] ends its connection.
 */
class PeerServer(
    private val loop: EventLoop,
    private val messageTimeoutMs: Long = MESSAGE_TIMEOUT_MS,
    private val respond: suspend (PeerMessage) -> PeerMessage,
) {
    private val log = LoggerFactory.getLogger(PeerServer::class.java)
    private var openConnections = 0

    /**
     * Listens on [address] until cancelled; the connections are served in [scope].
     *
     * @throws IOException if the address cannot be bound.
     */
    suspend fun serve(scope: CoroutineScope, address: HostPort) {
        TcpListener.bind(loop, address).use { listener ->
            while (true) {
                val connection = accept(listener)
                if (connection == null) {
                    // No socket is available; without a pause this loop would use a full core until one is free.
                    delay(ACCEPT_RETRY_MS)
                    continue
                }
                if (openConnections >= MAX_CONNECTIONS) {
                    connection.close()
                    continue
                }
                openConnections++
                scope.launch { serveConnection(connection) }
            }
        }
    }

    /** Returns the next connection, or null if it could not be accepted. */
    private suspend fun accept(listener: TcpListener): TcpConnection? = try {
        listener.accept()
    } catch (e: IOException) {
        log.warn("error={} peer connection not accepted", e.message)
        null
    }

    @Suppress("TooGenericExceptionCaught") // A failure to serve one controller must not stop this controller.
    private suspend fun serveConnection(connection: TcpConnection) {
        try {
            while (true) {
                val request = connection.receiveMessage(PeerCodec.MAX_REQUEST_BYTES, messageTimeoutMs)
                connection.sendMessage(respond(request))
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("error={} peer connection closed", e.toString())
        } catch (e: Error) {
            log.error("peer connection failed", e)
        } finally {
            openConnections--
            connection.close()
        }
    }

    private companion object {
        const val ACCEPT_RETRY_MS = 200L

        /** The limit on simultaneous connections from other controllers, each of which needs one or two. */
        const val MAX_CONNECTIONS = 32
    }
}
