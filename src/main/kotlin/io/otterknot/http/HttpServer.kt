package io.otterknot.http

import io.ktor.http.HttpProtocolVersion
import io.ktor.http.cio.parseHttpBody
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import io.otterknot.config.HostPort
import io.otterknot.net.EventLoop
import io.otterknot.net.TcpConnection
import io.otterknot.net.TcpListener
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * How long a connection may be idle, and how long a request may take to come whole from when it is first seen to have
 * begun; connections are looked at every [checkMs].
 */
class ConnectionLimits(val idleMs: Long = 180_000, val requestMs: Long = 10_000, val checkMs: Long = 5_000)

/**
 * HTTP/1.1, one coroutine for a connection, one request at a time. Of Ktor's CIO engine it uses the decoder of chunked
 * bodies; the rest of it is too dear for a twentieth of a core: its routing takes seconds to start.
 */
class HttpServer(
    private val loop: EventLoop,
    private val maxConnections: Int,
    private val maxBody: Int,
    private val limits: ConnectionLimits = ConnectionLimits(),
    private val handler: suspend (HttpRequest) -> HttpResponse,
) {
    private val log = LoggerFactory.getLogger(HttpServer::class.java)
    private val open = HashSet<Exchange>()

    /** How many connections have been accepted since the start. */
    var accepted = 0
        private set

    fun bind(address: HostPort): TcpListener = TcpListener.bind(loop, address)

    /** Accepts connections for as long as [scope] lives. */
    suspend fun serve(scope: CoroutineScope, listener: TcpListener) {
        scope.launch { closeIdle() }
        while (true) {
            val connection = try {
                listener.accept()
            } catch (e: IOException) {
                // Out of sockets: the ones in use will come free; a loop without a pause would eat the processor.
                log.warn("cannot accept a connection: {}", e.message)
                delay(ACCEPT_PAUSE_MS)
                continue
            }
            if (open.size >= maxConnections) {
                connection.close()
                continue
            }
            accepted++
            val exchange = Exchange(connection)
            open.add(exchange)
            scope.launch { converse(exchange) }
        }
    }

    /** A connection, and how long its client has let it wait. */
    private class Exchange(val connection: TcpConnection) {
        private var waits = true
        private var hasHead = false
        private var idleSinceNs = System.nanoTime()

        /** When the request that is coming was first seen to have begun; null: nothing of it has come. */
        private var begunNs: Long? = null

        private val hasBegun: Boolean get() = hasHead || !connection.input.exhausted()

        /** The connection waits for its next request. */
        fun waits() {
            idleSinceNs = System.nanoTime()
            begunNs = null
            hasHead = false
            waits = true
        }

        /** The head has come; a body may have to follow. */
        fun hasHead() {
            hasHead = true
        }

        fun works() {
            waits = false
        }

        /** Ends what has waited for too long; a request that has begun to come has to be whole soon. */
        fun check(now: Long, limits: ConnectionLimits) {
            if (!waits) return
            if (!hasBegun) {
                if (now - idleSinceNs > limits.idleMs * NS_A_MS) connection.close()
                return
            }
            val begun = begunNs ?: now.also { begunNs = it }
            if (now - begun > limits.requestMs * NS_A_MS) connection.interrupt(LateRequest())
        }
    }

    /** A request did not come whole in time. */
    private class LateRequest : IOException("the request did not come whole in time")

    /** One look at all connections now and then costs less than a timer for each request. */
    private suspend fun closeIdle() {
        while (true) {
            delay(limits.checkMs)
            val now = System.nanoTime()
            open.toList().forEach { it.check(now, limits) }
        }
    }

    private suspend fun converse(exchange: Exchange) {
        try {
            while (true) {
                exchange.waits()
                val request = receive(exchange) ?: return
                exchange.works()
                val response = answer(request)
                send(exchange.connection, response, close = response.close || request.asksClose)
                if (response.close || request.asksClose) return
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("connection ended: {}", e.toString())
        } finally {
            open.remove(exchange)
            exchange.connection.close()
        }
    }

    private sealed interface Received {
        val asksClose: Boolean

        class Whole(val request: HttpRequest, override val asksClose: Boolean) : Received

        class Bad(val refusal: HttpResponse) : Received {
            override val asksClose = true
        }
    }

    private fun bad(status: Int, why: String) = Received.Bad(HttpResponse.refusal(status, why, close = true))

    /** The next request; null: the client has closed the connection. */
    private suspend fun receive(exchange: Exchange): Received? = try {
        receiveInTime(exchange)
    } catch (e: MalformedHttp) {
        bad(400, e.message.orEmpty())
    } catch (e: LateRequest) {
        bad(400, e.message.orEmpty())
    }

    private suspend fun receiveInTime(exchange: Exchange): Received? {
        val connection = exchange.connection
        val head = HttpHead.receive(connection) ?: return null
        exchange.hasHead()
        if (head.startLine.size < 3 || !head.startLine.last().startsWith("HTTP/1.")) return bad(400, "not HTTP")
        if (head.isChunked) return receiveChunked(connection, head)
        val length = head["Content-Length"] ?: return whole(head, EMPTY)
        val size = length.toLongOrNull() ?: return bad(400, BAD_LENGTH)
        if (size < 0) return bad(400, BAD_LENGTH)
        if (size > maxBody) return bad(413, tooLarge())
        if (!connection.receive(size)) return null
        return whole(head, connection.input.readByteArray(size))
    }

    /** What comes after the body is lost with the decoder, so the connection is closed after the answer. */
    private suspend fun receiveChunked(connection: TcpConnection, head: HttpHead): Received = coroutineScope {
        val encoded = ByteChannel(autoFlush = true)
        val decoded = ByteChannel()
        val decoder = launch {
            parseHttpBody(HttpProtocolVersion.HTTP_1_1, -1L, "chunked", null, encoded, decoded)
            decoded.flushAndClose()
        }
        val pump = launch {
            do encoded.writeFully(connection.input.readByteArray()) while (connection.receive())
            encoded.flushAndClose()
        }
        val buffer = ByteArray(maxBody + 1)
        var size = 0
        while (size <= maxBody) {
            val got = decoded.readAvailable(buffer, size, buffer.size - size)
            if (got < 0) break
            size += got
        }
        pump.cancel()
        decoder.cancel()
        if (size > maxBody) bad(413, tooLarge()) else whole(head, buffer.copyOf(size), asksClose = true)
    }

    private fun whole(head: HttpHead, body: ByteArray, asksClose: Boolean = head.asksClose): Received {
        val (method, target) = head.startLine
        val path = target.substringBefore('?')
        return Received.Whole(HttpRequest(method, path, body, target.substring(path.length)), asksClose)
    }

    private fun tooLarge() = "a body may have at most $maxBody bytes"

    private suspend fun answer(received: Received): HttpResponse = when (received) {
        is Received.Bad -> received.refusal

        is Received.Whole -> try {
            handler(received.request)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.error("{} {} failed", received.request.method, received.request.path, e)
            HttpResponse.refusal(500, "internal error")
        }
    }

    private suspend fun send(connection: TcpConnection, response: HttpResponse, close: Boolean) {
        val head = StringBuilder(160)
        head.append("HTTP/1.1 ").append(response.status).append(' ').append(reasons[response.status] ?: "Status")
        head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(response.body.size)
        response.retryAfterS?.let { head.append("\r\nRetry-After: ").append(it) }
        response.allow?.let { head.append("\r\nAllow: ").append(it) }
        if (close) head.append("\r\nConnection: close")
        head.append("\r\n\r\n")
        // One write, so that head and body leave in one packet.
        connection.send(head.toString().encodeToByteArray() + response.body)
    }

    private companion object {
        const val ACCEPT_PAUSE_MS = 100L
        const val NS_A_MS = 1_000_000L
        const val BAD_LENGTH = "bad Content-Length"
        val EMPTY = ByteArray(0)
    }
}
