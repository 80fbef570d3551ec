package io.otterknot.peer

import io.otterknot.net.TcpConnection
import io.otterknot.wire.MalformedMessageException
import kotlinx.coroutines.withTimeoutOrNull
import java.io.EOFException
import java.io.IOException

/** How long the rest of a message may take by default once its size has arrived, in milliseconds. */
internal const val MESSAGE_TIMEOUT_MS = 10_000L

/**
 * Waits for the next message on this connection, whose body has at most [maxBytes] bytes.
 *
 * @throws EOFException if the other controller closed the connection.
 * @throws IOException if a message has begun and does not arrive completely within [timeoutMs].
 * @throws MalformedMessageException if the received bytes are not a valid frame, see [PeerCodec].
 */
internal suspend fun TcpConnection.receiveMessage(maxBytes: Int, timeoutMs: Long = MESSAGE_TIMEOUT_MS): PeerMessage {
    if (!receive(Int.SIZE_BYTES.toLong())) throw EOFException("connection closed between two messages")
    val size = input.readInt()
    if (size !in 1..maxBytes) throw MalformedMessageException("frame of $size bytes, allowed are 1 to $maxBytes")
    awaitBody(size.toLong(), timeoutMs)
    return PeerCodec.decode(input.readByteArray(size.toLong()))
}

private suspend fun TcpConnection.awaitBody(size: Long, timeoutMs: Long) {
    val isComplete = withTimeoutOrNull(timeoutMs) { receive(size) }
        ?: throw IOException("a message of $size bytes did not arrive completely within $timeoutMs ms")
    if (!isComplete) throw EOFException("connection closed within a message of $size bytes")
}

/** Sends [message] as one frame. */
internal suspend fun TcpConnection.sendMessage(message: PeerMessage) = send(PeerCodec.encode(message))
