package io.otterknot.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.otterknot.config.HostPort
import io.otterknot.http.Reply
import io.otterknot.state.Relay
import io.otterknot.wire.Malformed
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.slf4j.LoggerFactory

private suspend fun readMessage(input: ByteReadChannel): PeerMessage {
    val size = input.readInt()
    if (size !in 1..PeerCodec.MAX_FRAME) throw Malformed("frame of $size bytes")
    val body = ByteArray(size)
    input.readFully(body)
    return PeerCodec.decode(body)
}

private suspend fun writeMessage(output: ByteWriteChannel, message: PeerMessage) {
    output.writeFully(PeerCodec.encode(message))
    output.flush()
}

/** Answers other controllers. */
class PeerServer(private val selector: SelectorManager, private val handler: suspend (PeerMessage) -> PeerMessage) {
    private val log = LoggerFactory.getLogger(PeerServer::class.java)
    private var open = 0

    suspend fun serve(scope: CoroutineScope, address: HostPort) {
        aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }.use { server ->
            while (true) {
                val socket = try {
                    server.accept()
                } catch (e: java.io.IOException) {
                    log.warn("cannot accept a controller's connection: {}", e.message)
                    delay(PAUSE_MS)
                    continue
                }
                if (open >= MAX_OPEN) {
                    socket.close()
                    continue
                }
                open++
                scope.launch { converse(socket) }
            }
        }
    }

    private suspend fun converse(socket: Socket) {
        try {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            while (true) writeMessage(output, handler(readMessage(input)))
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("a controller's connection ended: {}", e.toString())
        } finally {
            open--
            socket.close()
        }
    }

    private companion object {
        const val PAUSE_MS = 200L
        const val MAX_OPEN = 32
    }
}

/** Something that carries a message to one controller and brings its answer; null: none came. */
fun interface PeerTransport {
    suspend fun ask(message: PeerMessage, timeoutMs: Long): PeerMessage?
}

const val PEER_ANSWER_MS = 800L

/** Another controller as a way to the state service. */
class PeerRelay(private val peer: PeerTransport) : Relay {
    override suspend fun sound(): Boolean? = (peer.ask(PeerMessage.Ask, PEER_ANSWER_MS) as? PeerMessage.Known)?.sound

    override suspend fun carry(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        val answer = peer.ask(
            PeerMessage.Carry(method, target, body, timeoutMs.toInt()),
            timeoutMs + PEER_ANSWER_MS,
        ) as? PeerMessage.Carried
        return if (answer == null ||
            answer.status == 0
        ) {
            Reply.None("no answer by way of another controller")
        } else {
            Reply.Answer(answer.status, answer.body)
        }
    }
}

/** A kept connection to one other controller; a message that gets no answer in time is given up. */
class PeerClient(private val selector: SelectorManager, private val address: HostPort) : PeerTransport {
    private class Connection(val socket: Socket) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = false)
    }

    private var kept: Connection? = null

    override suspend fun ask(message: PeerMessage, timeoutMs: Long): PeerMessage? {
        val used = kept
        kept = null
        var connection: Connection? = used
        var answered = false
        try {
            return withTimeout(timeoutMs) {
                val open = used?.takeUnless { it.input.isClosedForRead }
                    ?: Connection(aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true })
                if (open !== used) used?.socket?.close()
                connection = open
                writeMessage(open.output, message)
                readMessage(open.input).also { answered = true }
            }
        } catch (e: TimeoutCancellationException) {
            return null
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            return null
        } finally {
            if (answered) kept = connection else connection?.socket?.close()
        }
    }
}
