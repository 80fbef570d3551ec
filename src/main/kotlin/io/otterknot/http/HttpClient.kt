package io.otterknot.http

import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
import io.otterknot.net.TcpConnection
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout

/**
 * An HTTP/1.1 client for [address]. Each connection carries one request at a time; up to [maxIdle] idle connections are
 * kept for later requests. A response whose body has more than [maxBodyBytes] bytes is not received.
 */
class HttpClient(
    private val loop: EventLoop,
    private val address: HostPort,
    private val maxIdle: Int = 3,
    private val maxBodyBytes: Int = DEFAULT_MAX_BODY_BYTES,
) : Transport {
    private val idle = ArrayDeque<TcpConnection>()

    /** A reply and whether its connection may carry another request. */
    private class Exchange(val reply: Reply, val isReusable: Boolean)

    override suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        var connection: TcpConnection? = null
        var isReusable = false
        @Suppress("TooGenericExceptionCaught") // every failure means to the caller that there is no response
        try {
            return withTimeout(timeoutMs) {
                val used = takeIdle() ?: TcpConnection.open(loop, address)
                connection = used
                send(used, method, target, body)
                val exchange = receive(used)
                isReusable = exchange.isReusable
                exchange.reply
            }
        } catch (ignored: TimeoutCancellationException) {
            return Reply.None("no HTTP response within $timeoutMs ms")
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            return Reply.None(e.message ?: e.javaClass.simpleName)
        } finally {
            connection?.let { if (isReusable && idle.size < maxIdle) idle.addFirst(it) else it.close() }
        }
    }

    /**
     * Returns an idle connection that can carry a request, or null if there is none. Idle connections that the server
     * has closed meanwhile are closed and skipped, because a request sent on them would be lost.
     */
    private fun takeIdle(): TcpConnection? {
        while (true) {
            val connection = idle.removeFirstOrNull() ?: return null
            if (connection.isReusable) return connection
            connection.close()
        }
    }

    private suspend fun send(connection: TcpConnection, method: String, target: String, body: ByteArray?) {
        val head = StringBuilder(TYPICAL_HEAD_CHARS)
        head.append(method).append(' ').append(target).append(" HTTP/1.1\r\nHost: ")
        head.append(address.host).append(':').append(address.port)
        if (body != null || method != "GET") {
            head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(body?.size ?: 0)
        }
        head.append("\r\n\r\n")
        val headBytes = head.toString().encodeToByteArray()
        connection.send(if (body == null) headBytes else headBytes + body)
    }

    private suspend fun receive(connection: TcpConnection): Exchange {
        val head =
            HttpHead.receive(connection) ?: return failed("connection closed before the end of the response head")
        val status =
            head.startLine.getOrNull(1)?.toIntOrNull()
                ?: return failed("no status code in the first line of the response")
        val bodyBytes = head["Content-Length"]?.toLongOrNull()?.takeIf { it >= 0 }
            ?: return failed("response Content-Length is not a whole number")
        if (bodyBytes > maxBodyBytes) {
            val reply = Reply.None("response body of $bodyBytes bytes", isTooLarge = status == HttpStatus.OK)
            return Exchange(reply, isReusable = false)
        }
        if (!connection.receive(bodyBytes)) return failed("connection closed within the response body")
        val body = connection.input.readByteArray(bodyBytes)
        return Exchange(Reply.Answer(status, body), !head.closesConnection)
    }

    private fun failed(reason: String) = Exchange(Reply.None(reason), isReusable = false)

    private companion object {
        /**
         * Four times a page of the key-value store, the largest response but those to watches. A decoded response takes
         * about ten times its size, which must fit into the heap.
         */
        const val DEFAULT_MAX_BODY_BYTES = 2 * 1024 * 1024
        const val TYPICAL_HEAD_CHARS = 128
    }
}
