package io.otterknot.peer

import io.otterknot.http.Reply
import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
import io.otterknot.net.TcpConnection
import io.otterknot.net.TcpListener
import io.otterknot.store.Relay
import io.otterknot.wire.MalformedMessageException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.slf4j.LoggerFactory
import java.io.EOFException

private suspend fun readMessage(connection: TcpConnection): PeerMessage {
    if (!connection.receive(Int.SIZE_BYTES.toLong())) throw EOFException()
    val size = connection.input.readInt()
    if (size !in 1..PeerCodec.MAX_FRAME) throw MalformedMessageException("frame of $size bytes")
    if (!connection.receive(size.toLong())) throw EOFException()
    return PeerCodec.decode(connection.input.readByteArray(size.toLong()))
}

/** Answers other controllers. */
class PeerServer(private val loop: EventLoop, private val handler: suspend (PeerMessage) -> PeerMessage) {
    private val log = LoggerFactory.getLogger(PeerServer::class.java)
    private var open = 0

    suspend fun serve(scope: CoroutineScope, address: HostPort) {
        TcpListener.bind(loop, address).use { listener ->
            while (true) {
                val connection = try {
                    listener.accept()
                } catch (e: java.io.IOException) {
                    log.warn("cannot accept a controller's connection: {}", e.message)
                    delay(PAUSE_MS)
                    continue
                }
                if (open >= MAX_OPEN) {
                    connection.close()
                    continue
                }
                open++
                scope.launch { converse(connection) }
            }
        }
    }

    private suspend fun converse(connection: TcpConnection) {
        try {
            while (true) connection.send(PeerCodec.encode(handler(readMessage(connection))))
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("a controller's connection ended: {}", e.toString())
        } finally {
            open--
            connection.close()
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
    override suspend fun reachesStore(): Boolean? =
        (peer.ask(PeerMessage.Ask, PEER_ANSWER_MS) as? PeerMessage.Known)?.sound

    override suspend fun relay(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
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
class PeerClient(private val loop: EventLoop, private val address: HostPort) : PeerTransport {
    private var kept: TcpConnection? = null

    override suspend fun ask(message: PeerMessage, timeoutMs: Long): PeerMessage? {
        val used = kept
        kept = null
        var connection: TcpConnection? = used
        var answered = false
        try {
            return withTimeout(timeoutMs) {
                val open = used?.takeIf { it.isReusable } ?: TcpConnection.open(loop, address)
                if (open !== used) used?.close()
                connection = open
                open.send(PeerCodec.encode(message))
                readMessage(open).also { answered = true }
            }
        } catch (e: TimeoutCancellationException) {
            return null
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            return null
        } finally {
            if (answered) kept = connection else connection?.close()
        }
    }
}
