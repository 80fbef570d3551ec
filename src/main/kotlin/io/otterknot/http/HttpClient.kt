package io.otterknot.http

import io.otterknot.config.HostPort
import io.otterknot.net.EventLoop
import io.otterknot.net.TcpConnection
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout

/** Requests to one address over a few kept connections, each carrying one request at a time. */
class HttpClient(private val loop: EventLoop, private val address: HostPort, private val keep: Int = 3) : Transport {
    private val idle = ArrayDeque<TcpConnection>()

    override suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        var connection: TcpConnection? = null
        var whole = false
        try {
            return withTimeout(timeoutMs) {
                val used = keptConnection() ?: TcpConnection.open(loop, address)
                connection = used
                send(used, method, target, body)
                val (answer, reusable) = receive(used)
                whole = reusable
                answer
            }
        } catch (e: TimeoutCancellationException) {
            return Reply.None("no answer within $timeoutMs ms")
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            return Reply.None(e.message ?: e.javaClass.simpleName)
        } finally {
            connection?.let { if (whole && idle.size < keep) idle.addFirst(it) else it.close() }
        }
    }

    /** One that the other side has closed meanwhile would lose the request. */
    private fun keptConnection(): TcpConnection? {
        while (true) {
            val connection = idle.removeFirstOrNull() ?: return null
            if (connection.isReusable) return connection
            connection.close()
        }
    }

    private suspend fun send(connection: TcpConnection, method: String, target: String, body: ByteArray?) {
        val head = StringBuilder(128)
        head.append(method).append(' ').append(target).append(" HTTP/1.1\r\nHost: ")
        head.append(address.host).append(':').append(address.port)
        if (body != null || method != "GET") {
            head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(body?.size ?: 0)
        }
        head.append("\r\n\r\n")
        val bytes = head.toString().encodeToByteArray()
        connection.send(if (body == null) bytes else bytes + body)
    }

    private suspend fun receive(connection: TcpConnection): Pair<Reply, Boolean> {
        val closed = Reply.None("connection closed") to false
        val head = HttpHead.receive(connection) ?: return closed
        val status = head.startLine.getOrNull(1)?.toIntOrNull()
        val length = head["Content-Length"]?.toIntOrNull()
        if (status == null) return Reply.None("not HTTP") to false
        if (length == null || length > MAX_ANSWER) return Reply.None("answer without a usable length") to false
        if (!connection.receive(length.toLong())) return closed
        return Reply.Answer(status, connection.input.readByteArray(length.toLong())) to !head.asksClose
    }

    private companion object {
        const val MAX_ANSWER = 16 * 1024 * 1024
    }
}
