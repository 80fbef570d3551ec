package io.otterknot.http

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
 * An HTTP/1.1 server without pipelining: one coroutine for each connection, one request at a time. Beyond
 * [maxConnections] a new connection is closed at once.
 *
 * Only the decoder of chunked bodies is Ktor's CIO engine's: the engine itself takes seconds to start on a twentieth of
 * a core.
 */
class HttpServer(
    private val loop: EventLoop,
    private val maxConnections: Int,
    maxBodyBytes: Int,
    private val limits: ConnectionLimits = ConnectionLimits(),
    private val handler: suspend (HttpRequest) -> HttpResponse,
) {
    private val log = LoggerFactory.getLogger(HttpServer::class.java)
    private val reader = RequestReader(maxBodyBytes)
    private val connections = HashSet<ServerConnection>()

    /** How many connections have been accepted since the start. */
    var acceptedCount = 0
        private set

    /**
     * Listens on [address].
     *
     * @throws IOException if the address is in use or not local
     */
    fun bind(address: HostPort): TcpListener = TcpListener.bind(loop, address)

    /** Accepts and serves connections of [listener] until cancelled; their coroutines belong to [scope]. */
    suspend fun serve(scope: CoroutineScope, listener: TcpListener) {
        scope.launch { enforceLimits() }
        while (true) {
            val socket = try {
                listener.accept()
            } catch (e: IOException) {
                // Out of file descriptors: some will come free. Without a pause the loop would use up the processor.
                log.warn("cannot accept a connection: error={}", e.message)
                delay(ACCEPT_RETRY_MS)
                continue
            }
            if (connections.size >= maxConnections) {
                socket.close()
                continue
            }
            acceptedCount++
            val connection = ServerConnection(socket)
            connections.add(connection)
            scope.launch { serveRequests(connection) }
        }
    }

    /** One pass over all connections every few seconds costs less than a timer for each request. */
    private suspend fun enforceLimits() {
        while (true) {
            delay(limits.checkMs)
            val nowNs = System.nanoTime()
            connections.toList().forEach { it.enforce(limits, nowNs) }
        }
    }

    private suspend fun serveRequests(connection: ServerConnection) {
        @Suppress("TooGenericExceptionCaught") // one connection must not end the others; logged
        try {
            while (true) {
                connection.awaitRequest()
                val received = reader.receive(connection) ?: return
                connection.requestReceived()
                val response = respondTo(received)
                val closes = response.close || received.closesConnection
                send(connection.socket, response, closes)
                if (closes) return
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // A client that goes away in the middle of a request is ordinary.
            log.debug("connection ended: error={}", e.toString())
        } finally {
            connections.remove(connection)
            connection.socket.close()
        }
    }

    private suspend fun respondTo(received: ReceivedRequest): HttpResponse = when (received) {
        is ReceivedRequest.Invalid -> received.response
        is ReceivedRequest.Complete -> handle(received.request)
    }

    @Suppress("TooGenericExceptionCaught") // a handler may fail in any way; logged, and the client is told
    private suspend fun handle(request: HttpRequest): HttpResponse = try {
        handler(request)
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        log.error("request failed: method={} path={}", request.method, request.path, e)
        HttpResponse.refusal(HttpStatus.INTERNAL_SERVER_ERROR, "internal error")
    }

    private suspend fun send(socket: TcpConnection, response: HttpResponse, close: Boolean) {
        val head = StringBuilder(TYPICAL_HEAD_CHARS)
        head.append("HTTP/1.1 ").append(response.status).append(' ').append(HttpStatus.reasonPhrase(response.status))
        head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(response.body.size)
        response.retryAfterS?.let { head.append("\r\nRetry-After: ").append(it) }
        response.allow?.let { head.append("\r\nAllow: ").append(it) }
        if (close) head.append("\r\nConnection: close")
        head.append("\r\n\r\n")
        // One write, so that head and body leave in one packet.
        socket.send(head.toString().encodeToByteArray() + response.body)
    }

    private companion object {
        const val ACCEPT_RETRY_MS = 100L
        const val TYPICAL_HEAD_CHARS = 160
    }
}
