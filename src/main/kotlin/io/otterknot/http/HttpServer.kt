package io.otterknot.http

import io.ktor.http.cio.parseHttpBody
import io.ktor.http.cio.parseRequest
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readFully
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/**
 * HTTP/1.1 on Ktor's sockets with the parser of Ktor's CIO engine. The engine's routing pipeline is left out: on a
 * tenth of a core its start-up alone takes seconds. One coroutine serves one connection, one request at a time.
 */
class HttpServer(
    private val selector: SelectorManager,
    private val maxConnections: Int,
    private val maxBody: Int,
    private val handler: suspend (HttpRequest) -> HttpResponse,
) {
    private val log = LoggerFactory.getLogger(HttpServer::class.java)
    private var open = 0

    suspend fun bind(host: String, port: Int): ServerSocket = aSocket(selector).tcp().bind(host, port) {
        backlogSize = 256
        reuseAddress = true
    }

    /** Accepts connections for as long as [scope] lives. */
    suspend fun serve(scope: CoroutineScope, server: ServerSocket) {
        while (true) {
            val socket = try {
                server.accept()
            } catch (e: java.io.IOException) {
                // Out of sockets: the ones in use will come free; a loop without a pause would eat the processor.
                log.warn("cannot accept a connection: {}", e.message)
                delay(ACCEPT_PAUSE_MS)
                continue
            }
            if (open >= maxConnections) {
                socket.close()
                continue
            }
            open++
            scope.launch {
                try {
                    converse(socket)
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    log.debug("connection ended: {}", e.toString())
                } finally {
                    open--
                    socket.close()
                }
            }
        }
    }

    private suspend fun converse(socket: Socket) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = false)
        while (true) {
            val request = try {
                withTimeoutOrNull(IDLE_MS) { parseRequest(input) } ?: return
            } catch (e: CancellationException) {
                throw e
            } catch (e: java.io.IOException) {
                return
            } catch (e: Exception) {
                respond(output, HttpResponse.refusal(400, "not HTTP", close = true), close = true)
                return
            }
            val response: HttpResponse
            val close: Boolean
            try {
                val asksClose = request.headers["Connection"]?.toString().equals("close", ignoreCase = true)
                val body =
                    withTimeoutOrNull(BODY_MS) {
                        readBody(request.headers["Content-Length"], request.headers["Transfer-Encoding"], input)
                    }
                response = when (body) {
                    null -> HttpResponse.refusal(400, "the body did not come", close = true)

                    is Body.TooLarge -> HttpResponse.refusal(
                        413,
                        "a body may have at most $maxBody bytes",
                        close = true,
                    )

                    is Body.Bad -> HttpResponse.refusal(400, "bad Content-Length", close = true)

                    is Body.Whole ->
                        handle(
                            HttpRequest(request.method.value, request.uri.toString().substringBefore('?'), body.bytes),
                        )
                }
                close = asksClose || response.close
            } finally {
                request.release()
            }
            respond(output, response, close)
            if (close) return
        }
    }

    private suspend fun handle(request: HttpRequest): HttpResponse = try {
        handler(request)
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        log.error("{} {} failed", request.method, request.path, e)
        HttpResponse.refusal(500, "internal error")
    }

    private sealed interface Body {
        class Whole(val bytes: ByteArray) : Body
        data object TooLarge : Body
        data object Bad : Body
    }

    private suspend fun readBody(length: CharSequence?, encoding: CharSequence?, input: ByteReadChannel): Body {
        if (encoding != null && encoding.toString().equals("chunked", ignoreCase = true)) return readChunked(input)
        if (length == null) return Body.Whole(EMPTY)
        val size = length.toString().trim().toLongOrNull() ?: return Body.Bad
        if (size < 0) return Body.Bad
        if (size > maxBody) return Body.TooLarge
        val bytes = ByteArray(size.toInt())
        input.readFully(bytes)
        return Body.Whole(bytes)
    }

    private suspend fun readChunked(input: ByteReadChannel): Body = kotlinx.coroutines.coroutineScope {
        val decoded = ByteChannel()
        val decoder = launch {
            parseHttpBody(io.ktor.http.HttpProtocolVersion.HTTP_1_1, -1L, "chunked", null, input, decoded)
            decoded.flushAndClose()
        }
        val buffer = ByteArray(maxBody + 1)
        var size = 0
        while (size <= maxBody) {
            val got = decoded.readAvailable(buffer, size, buffer.size - size)
            if (got < 0) break
            size += got
        }
        decoder.cancel()
        if (size > maxBody) Body.TooLarge else Body.Whole(buffer.copyOf(size))
    }

    private suspend fun respond(output: io.ktor.utils.io.ByteWriteChannel, response: HttpResponse, close: Boolean) {
        val head = StringBuilder(160)
        head.append("HTTP/1.1 ").append(response.status).append(' ').append(reasons[response.status] ?: "Status")
        head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(response.body.size)
        response.retryAfterS?.let { head.append("\r\nRetry-After: ").append(it) }
        response.allow?.let { head.append("\r\nAllow: ").append(it) }
        if (close) head.append("\r\nConnection: close")
        head.append("\r\n\r\n")
        // One write, so that head and body leave in one packet.
        output.writeFully(head.toString().encodeToByteArray() + response.body)
        output.flush()
        if (close) output.flushAndClose()
    }

    private companion object {
        const val IDLE_MS = 180_000L
        const val BODY_MS = 10_000L
        const val ACCEPT_PAUSE_MS = 100L
        val EMPTY = ByteArray(0)
    }
}
