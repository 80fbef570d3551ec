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

/** Answers the messages of other controllers, those of one connection one after another. */
class PeerServer(private val loop: EventLoop, private val respond: suspend (PeerMessage) -> PeerMessage) {
    private val log = LoggerFactory.getLogger(PeerServer::class.java)
    private var openConnections = 0

    /**
     * Listens on [address] until cancelled; the connections are served in [scope].
     *
     * @throws IOException the address cannot be listened on.
     */
    suspend fun serve(scope: CoroutineScope, address: HostPort) {
        TcpListener.bind(loop, address).use { listener ->
            while (true) {
                val connection = accept(listener)
                if (connection == null) {
                    // The sockets have run out: a loop without a pause would take the processor until some are free.
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

    /** The next connection; null: it could not be accepted. */
    private suspend fun accept(listener: TcpListener): TcpConnection? = try {
        listener.accept()
    } catch (e: IOException) {
        log.warn("peer connection not accepted error={}", e.message)
        null
    }

    @Suppress("TooGenericExceptionCaught") // A fault in answering one controller must not end this one.
    private suspend fun serveConnection(connection: TcpConnection) {
        try {
            while (true) connection.sendMessage(respond(connection.receiveMessage()))
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("peer connection closed error={}", e.toString())
        } finally {
            openConnections--
            connection.close()
        }
    }

    private companion object {
        const val ACCEPT_RETRY_MS = 200L

        /** Connections of other controllers at a time; each needs one or two. */
        const val MAX_CONNECTIONS = 32
    }
}
