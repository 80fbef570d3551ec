package io.otterknot.peer

import io.otterknot.wire.MalformedMessageException
import okio.Buffer
import java.io.EOFException

/**
 * The binary format of [PeerMessage]. A frame is the length of its body (4 bytes) and the body: the kind of the message
 * (1 byte), then its fields. Integers are big-endian. A name is encoded as its length in UTF-8 bytes (2 bytes, unsigned)
 * and the bytes; a byte array as its length (4 bytes, [ABSENT] for null) and its content.
 *
 * Controllers in production use this format, so it must not change; GoldenFormatTest checks it.
 */
object PeerCodec {
    /** The maximum size in bytes of the body of a response that a controller accepts. */
    const val MAX_RESPONSE_BYTES = 1_048_576

    /** The size of a [PeerMessage.RelayResponse] without the body that it relays: kind, status and length. */
    private const val RELAY_RESPONSE_HEAD_BYTES = 9

    /** The largest body of the store's response that fits in a response to another controller. */
    const val MAX_RELAYED_BODY_BYTES = MAX_RESPONSE_BYTES - RELAY_RESPONSE_HEAD_BYTES

    /**
     * The maximum size in bytes of the body of a request that a controller accepts. The largest request relays a
     * transaction of 64 KiB.
     */
    const val MAX_REQUEST_BYTES = 131_072

    private const val KIND_IDLE_PARTITION_QUERY = 1
    private const val KIND_IDLE_PARTITION_ANNOUNCEMENT = 2
    private const val KIND_IDLE_ANNOUNCEMENT_WITHDRAWN = 3
    private const val KIND_IDLE_PARTITION_COUNT = 4
    private const val KIND_RELAY_REQUEST = 5
    private const val KIND_RELAY_RESPONSE = 6
    private const val KIND_TRANSFER_LEADERSHIP = 7

    /** The length that encodes a null byte array. */
    private const val ABSENT = -1

    private const val UNSIGNED_SHORT_MASK = 0xffff
    private val EMPTY = ByteArray(0)

    /** Encodes [message] as a complete frame, including its length. */
    fun encode(message: PeerMessage): ByteArray {
        val body = Buffer()
        body.writeMessage(message)
        val frame = Buffer().writeInt(body.size.toInt())
        frame.writeAll(body)
        return frame.readByteArray()
    }

    /**
     * Decodes the body of one frame, without its length.
     *
     * @throws MalformedMessageException if the body ends within a field or has bytes after the last field.
     */
    fun decode(body: ByteArray): PeerMessage {
        val buffer = Buffer().write(body)
        try {
            val message = buffer.readMessage()
            if (message is PeerMessage.Unknown) return message
            if (!buffer.exhausted()) throw MalformedMessageException("${buffer.size} bytes after the last field")
            return message
        } catch (_: EOFException) { // Carries no information except that the body is too short.
            throw MalformedMessageException("message body of ${body.size} bytes ends within a field")
        }
    }

    private fun Buffer.writeMessage(message: PeerMessage) {
        when (message) {
            PeerMessage.IdlePartitionQuery -> writeByte(KIND_IDLE_PARTITION_QUERY)
            is PeerMessage.IdlePartitionAnnouncement -> writeAnnouncement(message)
            is PeerMessage.IdleAnnouncementWithdrawn -> writeWithdrawal(message)
            is PeerMessage.IdlePartitionCount -> writeIdlePartitionCount(message)
            is PeerMessage.RelayRequest -> writeRelayRequest(message)
            is PeerMessage.RelayResponse -> writeRelayResponse(message)
            is PeerMessage.TransferLeadership -> writeTransfer(message)
            is PeerMessage.Unknown -> writeByte(message.kind)
        }
    }

    private fun Buffer.readMessage(): PeerMessage = when (val kind = readByte().toInt()) {
        KIND_IDLE_PARTITION_QUERY -> PeerMessage.IdlePartitionQuery
        KIND_IDLE_PARTITION_ANNOUNCEMENT -> readAnnouncement()
        KIND_IDLE_ANNOUNCEMENT_WITHDRAWN -> readWithdrawal()
        KIND_IDLE_PARTITION_COUNT -> readIdlePartitionCount()
        KIND_RELAY_REQUEST -> readRelayRequest()
        KIND_RELAY_RESPONSE -> readRelayResponse()
        KIND_TRANSFER_LEADERSHIP -> readTransfer()
        else -> PeerMessage.Unknown(kind)
    }

    private fun Buffer.writeAnnouncement(message: PeerMessage.IdlePartitionAnnouncement) {
        writeByte(KIND_IDLE_PARTITION_ANNOUNCEMENT)
        writeName(message.zone)
        writeLong(message.fencingToken)
        writeInt(message.idleMachines)
    }

    private fun Buffer.readAnnouncement() =
        PeerMessage.IdlePartitionAnnouncement(zone = readName(), fencingToken = readLong(), idleMachines = readInt())

    private fun Buffer.writeWithdrawal(message: PeerMessage.IdleAnnouncementWithdrawn) {
        writeByte(KIND_IDLE_ANNOUNCEMENT_WITHDRAWN)
        writeName(message.zone)
        writeLong(message.fencingToken)
    }

    private fun Buffer.readWithdrawal() =
        PeerMessage.IdleAnnouncementWithdrawn(zone = readName(), fencingToken = readLong())

    private fun Buffer.writeIdlePartitionCount(message: PeerMessage.IdlePartitionCount) {
        writeByte(KIND_IDLE_PARTITION_COUNT)
        writeInt(message.partitions)
        writeByte(if (message.isStoreReachable) 1 else 0)
    }

    private fun Buffer.readIdlePartitionCount() =
        PeerMessage.IdlePartitionCount(partitions = readInt(), isStoreReachable = readByte().toInt() != 0)

    private fun Buffer.writeRelayRequest(message: PeerMessage.RelayRequest) {
        writeByte(KIND_RELAY_REQUEST)
        writeName(message.method)
        writeName(message.target)
        writeInt(message.timeoutMs)
        writeBytes(message.body)
    }

    /** The arguments are evaluated in the order written, which must be the order of the fields in the frame. */
    private fun Buffer.readRelayRequest() = PeerMessage.RelayRequest(
        method = readName(),
        target = readName(),
        timeoutMs = readInt(),
        body = readBytes(),
    )

    private fun Buffer.writeRelayResponse(message: PeerMessage.RelayResponse) {
        writeByte(KIND_RELAY_RESPONSE)
        writeInt(message.status)
        writeBytes(message.body)
    }

    private fun Buffer.readRelayResponse() = PeerMessage.RelayResponse(status = readInt(), body = readBytes() ?: EMPTY)

    private fun Buffer.writeTransfer(message: PeerMessage.TransferLeadership) {
        writeByte(KIND_TRANSFER_LEADERSHIP)
        writeName(message.zone)
        writeInt(message.ledPartitions)
    }

    private fun Buffer.readTransfer() = PeerMessage.TransferLeadership(zone = readName(), ledPartitions = readInt())

    private fun Buffer.writeBytes(bytes: ByteArray?) {
        writeInt(bytes?.size ?: ABSENT)
        write(bytes ?: EMPTY)
    }

    private fun Buffer.readBytes(): ByteArray? {
        val size = readInt()
        return if (size < 0) null else readByteArray(size.toLong())
    }

    private fun Buffer.writeName(name: String) {
        val bytes = name.encodeToByteArray()
        writeShort(bytes.size)
        write(bytes)
    }

    private fun Buffer.readName(): String {
        val size = readShort().toInt() and UNSIGNED_SHORT_MASK
        return readUtf8(size.toLong())
    }
}
