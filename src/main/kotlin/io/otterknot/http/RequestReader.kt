package io.otterknot.http

import io.ktor.http.HttpProtocolVersion
import io.ktor.http.cio.parseHttpBody
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/** The result of reading the next request from a connection. */
internal sealed interface ReceivedRequest {
    /** Whether the connection is closed after the response. */
    val closesConnection: Boolean

    class Complete(val request: HttpRequest, override val closesConnection: Boolean) : ReceivedRequest

    /**
     * A request that is malformed, too large or late, or for which there is no memory, refused with [response]. The
     * connection is closed after the response, because it is unknown where the next request begins.
     */
    class Invalid(val response: HttpResponse) : ReceivedRequest {
        override val closesConnection = true
    }
}

/** Reads requests whose body, sent with `Content-Length` or chunked, has at most [maxBodyBytes] bytes. */
internal class RequestReader(private val maxBodyBytes: Int) {
    private val log = LoggerFactory.getLogger(RequestReader::class.java)

    /** Reads the next request on [connection]; returns null if the client has closed the connection. */
    suspend fun receive(connection: ServerConnection): ReceivedRequest? = try {
        receiveRequest(connection)
    } catch (e: MalformedHttpException) {
        invalid(HttpStatus.BAD_REQUEST, e.message.orEmpty())
    } catch (e: RequestTimeoutException) {
        invalid(HttpStatus.BAD_REQUEST, e.message.orEmpty())
    } catch (e: RequestMemoryExhaustedException) {
        invalid(HttpStatus.SERVICE_UNAVAILABLE, e.message.orEmpty(), MEMORY_RETRY_AFTER_S)
    }

    private suspend fun receiveRequest(connection: ServerConnection): ReceivedRequest? {
        val head =
            HttpHead.receive(connection.socket) { connection.memory.add(HttpHead.MAX_HEAD_BYTES) } ?: return null
        connection.headReceived()
        val received = when {
            !isHttpRequest(head) -> invalid(HttpStatus.BAD_REQUEST, "the first line must be METHOD TARGET HTTP/1.x")
            head.isChunked -> receiveChunked(connection, head)
            else -> receiveWithLength(connection, head)
        }
        // What the client has already sent of its next request stays in memory until this one is answered.
        connection.memory.add(connection.socket.input.size)
        return received
    }

    /**
     * Reads a body of `Content-Length` bytes, or an empty one without that header. Returns null if the client closes
     * the connection before the body is complete.
     */
    private suspend fun receiveWithLength(connection: ServerConnection, head: HttpHead): ReceivedRequest? {
        val lengthField = head["Content-Length"] ?: return complete(head, EMPTY_BODY)
        val bodyBytes = lengthField.toLongOrNull()
        return when {
            bodyBytes == null || bodyBytes < 0 -> invalid(
                HttpStatus.BAD_REQUEST,
                "Content-Length must be a whole number from 0 to $maxBodyBytes",
            )

            bodyBytes > maxBodyBytes -> bodyTooLarge(head, bodyBytes)

            else -> receiveBody(connection, head, bodyBytes)
        }
    }

    private suspend fun receiveBody(connection: ServerConnection, head: HttpHead, bodyBytes: Long): ReceivedRequest? {
        connection.memory.add(bodyBytes)
        if (!connection.socket.receive(bodyBytes)) return null
        return complete(head, connection.socket.input.readByteArray(bodyBytes))
    }

    private fun isHttpRequest(head: HttpHead): Boolean =
        head.startLine.size >= REQUEST_LINE_PARTS && head.startLine.last().startsWith("HTTP/1.")

    /**
     * Decodes a chunked body with Ktor's decoder. The decoder may consume bytes beyond the end of the body; these are
     * lost, so the connection is closed after the response.
     *
     * @throws MalformedHttpException if the body is not chunked as it should be
     */
    private suspend fun receiveChunked(connection: ServerConnection, head: HttpHead): ReceivedRequest = coroutineScope {
        connection.memory.add(maxBodyBytes.toLong())
        val socket = connection.socket
        val encoded = ByteChannel(autoFlush = true)
        val decoded = ByteChannel()
        val decoder = launch { decodeChunks(encoded, decoded) }
        val pump = launch {
            do encoded.writeFully(socket.input.readByteArray()) while (socket.receive())
            encoded.flushAndClose()
        }
        val buffer = ByteArray(maxBodyBytes + 1)
        var bodyBytes = 0
        while (bodyBytes <= maxBodyBytes) {
            val readCount = decoded.readAvailable(buffer, bodyBytes, buffer.size - bodyBytes)
            if (readCount < 0) break
            bodyBytes += readCount
        }
        pump.cancel()
        decoder.cancel()
        if (bodyBytes > maxBodyBytes) {
            bodyTooLarge(head, bodyBytes.toLong())
        } else {
            complete(head, buffer.copyOf(bodyBytes), closesConnection = true)
        }
    }

    @Suppress("TooGenericExceptionCaught") // Ktor does not say which exceptions a malformed body causes.
    private suspend fun decodeChunks(encoded: ByteChannel, decoded: ByteChannel) {
        try {
            parseHttpBody(HttpProtocolVersion.HTTP_1_1, -1L, "chunked", null, encoded, decoded)
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            throw MalformedHttpException("the chunked body is malformed")
        }
        decoded.flushAndClose()
    }

    private fun complete(
        head: HttpHead,
        body: ByteArray,
        closesConnection: Boolean = head.closesConnection,
    ): ReceivedRequest {
        val (method, target) = head.startLine
        val path = target.substringBefore('?')
        return ReceivedRequest.Complete(
            HttpRequest(method, path, body, target.substring(path.length)),
            closesConnection,
        )
    }

    /** Refuses a body of at least [bodyBytes] bytes. A worker whose reports are refused loses all its tasks. */
    private fun bodyTooLarge(head: HttpHead, bodyBytes: Long): ReceivedRequest.Invalid {
        val (method, target) = head.startLine
        log.warn("method={} path={} bytes={} request body refused as too large", method, target, bodyBytes)
        return invalid(HttpStatus.PAYLOAD_TOO_LARGE, "a body may have at most $maxBodyBytes bytes")
    }

    private fun invalid(status: Int, reason: String, retryAfterS: Int? = null) =
        ReceivedRequest.Invalid(HttpResponse.refusal(status, reason, retryAfterS, close = true))

    private companion object {
        /** Method, target and version. */
        const val REQUEST_LINE_PARTS = 3
        const val MEMORY_RETRY_AFTER_S = 1
        val EMPTY_BODY = ByteArray(0)
    }
}
