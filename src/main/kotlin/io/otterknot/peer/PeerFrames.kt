package io.otterknot.peer

import io.otterknot.net.TcpConnection
import io.otterknot.wire.MalformedMessageException
import java.io.EOFException

/**
 * Waits for the next message of this connection.
 *
 * @throws EOFException the other controller closed the connection.
 * @throws MalformedMessageException what came is not a frame, see [PeerCodec].
 */
internal suspend fun TcpConnection.receiveMessage(): PeerMessage {
    if (!receive(Int.SIZE_BYTES.toLong())) throw EOFException("closed between two messages")
    val size = input.readInt()
    if (size !in 1..PeerCodec.MAX_FRAME_BYTES) throw MalformedMessageException("frame of $size bytes")
    if (!receive(size.toLong())) throw EOFException("closed within a message")
    return PeerCodec.decode(input.readByteArray(size.toLong()))
}

/** Sends the frame of [message]. */
internal suspend fun TcpConnection.sendMessage(message: PeerMessage) = send(PeerCodec.encode(message))
