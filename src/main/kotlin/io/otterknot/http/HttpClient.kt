package io.otterknot.http

import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.writeFully
import io.otterknot.config.HostPort
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout

/** Requests to one address over a few kept connections, each carrying one request at a time. */
class HttpClient(private val selector: SelectorManager, private val address: HostPort, private val keep: Int = 3) :
    Transport {
    private class Connection(val socket: Socket) {
        val input: ByteReadChannel = socket.openReadChannel()
        val output: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)
    }

    private val idle = ArrayDeque<Connection>()

    override suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        var connection: Connection? = null
        var whole = false
        try {
            return withTimeout(timeoutMs) {
                // A kept connection that the other side has closed meanwhile would lose the request.
                while (idle.isNotEmpty() && idle.first().input.isClosedForRead) idle.removeFirst().socket.close()
                val used = idle.removeFirstOrNull()
                    ?: Connection(
                        aSocket(selector).tcp().connect(address.host, address.port) {
                            noDelay = true
                        },
                    )
                connection = used
                send(used.output, method, target, body)
                val (answer, reusable) = receive(used.input)
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
            connection?.let { if (whole && idle.size < keep) idle.addFirst(it) else it.socket.close() }
        }
    }

    private suspend fun send(output: ByteWriteChannel, method: String, target: String, body: ByteArray?) {
        val head = StringBuilder(128)
        head.append(method).append(' ').append(target).append(" HTTP/1.1\r\nHost: ")
        head.append(address.host).append(':').append(address.port)
        if (body != null || method != "GET") {
            head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(body?.size ?: 0)
        }
        head.append("\r\n\r\n")
        val bytes = head.toString().encodeToByteArray()
        output.writeFully(if (body == null) bytes else bytes + body)
        output.flush()
    }

    private suspend fun receive(input: ByteReadChannel): Pair<Reply, Boolean> {
        val response = parseResponse(input) ?: return Reply.None("connection closed") to false
        try {
            val length = response.headers["Content-Length"]?.toString()?.trim()?.toIntOrNull()
            val keepOpen = !response.headers["Connection"]?.toString().equals("close", ignoreCase = true)
            if (length == null || length > MAX_ANSWER) return Reply.None("answer without a usable length") to false
            val body = ByteArray(length)
            input.readFully(body)
            return Reply.Answer(response.status, body) to keepOpen
        } finally {
            response.release()
        }
    }

    private companion object {
        const val MAX_ANSWER = 16 * 1024 * 1024
    }
}
