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
 * An HTTP/1.1 server without pipelining: each connection is served by a coroutine of its own, one request at a time.
 * While [maxConnections] connections are open, a further one is closed as soon as it is accepted. A request for which
 * [maxRequestMemoryBytes] leaves no room beside those that are being received or answered is refused with status 503.
 *
 * Of Ktor's CIO engine only the decoder of chunked bodies is used, because the engine takes seconds to start on a
 * twentieth of a core.
 */
class HttpServer(
    private val loop: EventLoop,
    private val maxConnections: Int,
    maxBodyBytes: Int,
    private val limits: ConnectionLimits = ConnectionLimits(),
    maxRequestMemoryBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_SHARE_DIVISOR,
    private val handler: suspend (HttpRequest) -> HttpResponse,
) {
    private val log = LoggerFactory.getLogger(HttpServer::class.java)
    private val reader = RequestReader(maxBodyBytes)
    private val requestMemory = RequestMemory(maxRequestMemoryBytes)
    private val connections = HashSet<ServerConnection>()

    /** How many connections have been accepted since the start, without those closed because of [maxConnections]. */
    var acceptedCount = 0
        private set

    /**
     * Listens on [address].
     *
     * @throws IOException if the address is in use or not local
     */
    fun bind(address: HostPort): TcpListener = TcpListener.bind(loop, address)

    /** Accepts and serves connections of [listener] until cancelled; the connections' coroutines run in [scope]. */
    suspend fun serve(scope: CoroutineScope, listener: TcpListener) {
        scope.launch { enforceLimits() }
        while (true) {
            val socket = try {
                listener.accept()
            } catch (e: IOException) {
                // Out of file descriptors until some are closed. Retrying without a delay would use up the processor.
                log.warn("error={} cannot accept a connection", e.message)
                delay(ACCEPT_RETRY_MS)
                continue
            }
            if (connections.size >= maxConnections) {
                socket.close()
                continue
            }
            acceptedCount++
            val connection = ServerConnection(socket, requestMemory.Reservation())
            connections.add(connection)
            scope.launch { serveRequests(connection) }
        }
    }

    /**
     * Checks all connections against [limits] every [ConnectionLimits.checkMs]. This costs less than a timer
     * for each request.
     */
    private suspend fun enforceLimits() {
        while (true) {
            delay(limits.checkMs)
            val nowNs = System.nanoTime()
            connections.toList().forEach { it.enforce(limits, nowNs) }
        }
    }

    private suspend fun serveRequests(connection: ServerConnection) {
        @Suppress("TooGenericExceptionCaught") // the failure of one connection must not end the others; it is logged
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
            // Logged at debug level only: clients commonly disconnect in the middle of a request.
            log.debug("error={} connection ended", e.toString())
        } catch (e: Error) {
            log.error("connection failed", e)
        } finally {
            connections.remove(connection)
            connection.close()
        }
    }

    private suspend fun respondTo(received: ReceivedRequest): HttpResponse = when (received) {
        is ReceivedRequest.Invalid -> received.response
        is ReceivedRequest.Complete -> handle(received.request)
    }

    /**
     * Calls [handler]. Any failure is logged, and the client gets status 500. That includes an [Error], such as a
     * [StackOverflowError]: otherwise one request would end the process, and its retries all other controllers.
     */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun handle(request: HttpRequest): HttpResponse = try {
        handler(request)
    } catch (e: CancellationException) {
        throw e
    } catch (e: Throwable) {
        log.error("method={} path={} request failed", request.method, request.path, e)
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
        // Head and body are sent in one write, so that they can leave in one packet.
        socket.send(head.toString().encodeToByteArray() + response.body)
    }

    private companion object {
        const val ACCEPT_RETRY_MS = 100L

        /** Requests may use this part of the heap. */
        const val HEAP_SHARE_DIVISOR = 8
        const val TYPICAL_HEAD_CHARS = 160
    }
}
