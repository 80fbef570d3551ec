package io.otterknot.peer

import io.otterknot.net.TcpConnection
import io.otterknot.wire.MalformedMessageException
import java.io.EOFException

/**
 * Waits for the next message on this connection.
 *
 * @throws EOFException if the other controller closed the connection.
 * @throws MalformedMessageException if the received bytes are not a valid frame, see [PeerCodec].
 */
internal suspend fun TcpConnection.receiveMessage(): PeerMessage {
    if (!receive(Int.SIZE_BYTES.toLong())) throw EOFException("connection closed between two messages")
    val size = input.readInt()
    if (size !in 1..PeerCodec.MAX_FRAME_BYTES) {
        throw MalformedMessageException("frame of $size bytes, allowed are 1 to ${PeerCodec.MAX_FRAME_BYTES}")
    }
    if (!receive(size.toLong())) throw EOFException("connection closed within a message of $size bytes")
    return PeerCodec.decode(input.readByteArray(size.toLong()))
}

/** Sends [message] as one frame. */
internal suspend fun TcpConnection.sendMessage(message: PeerMessage) = send(PeerCodec.encode(message))
