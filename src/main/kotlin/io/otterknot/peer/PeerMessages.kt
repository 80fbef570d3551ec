package io.otterknot.peer

import io.otterknot.wire.MalformedMessageException
import okio.Buffer

/** What controllers tell each other. Each is answered with [Known], or a [Carry] with [Carried]. */
sealed interface PeerMessage {
    /** How many partitions with idle machines do you know? */
    data object Ask : PeerMessage

    /** The partition of [zone], owned under [token], has so many idle machines. */
    data class Announce(val zone: String, val token: Long, val idle: Int) : PeerMessage

    /** The partition has no idle machine any more. */
    data class Withdraw(val zone: String, val token: Long) : PeerMessage

    /** [sound]: the state service answers this node. */
    data class Known(val partitions: Int, val sound: Boolean) : PeerMessage

    /** Let me own the partition of [zone], since I own [owned] partitions only. */
    data class Yield(val zone: String, val owned: Int) : PeerMessage

    /** Ask the state service this for me. */
    class Carry(val method: String, val target: String, val body: ByteArray?, val timeoutMs: Int) : PeerMessage

    /** A kind that this version does not know; it is answered with [Known], and the connection goes on. */
    data class Unknown(val kind: Int) : PeerMessage

    /** What it said; status 0: nothing. */
    class Carried(val status: Int, val body: ByteArray) : PeerMessage
}

/** A frame is a length of four bytes and that many bytes: a kind, then its fields. */
object PeerCodec {
    const val MAX_FRAME = 1_048_576

    fun encode(message: PeerMessage): ByteArray {
        val body = Buffer()
        when (message) {
            PeerMessage.Ask -> body.writeByte(1)

            is PeerMessage.Announce -> body.writeByte(
                2,
            ).writeName(message.zone).writeLong(message.token).writeInt(message.idle)

            is PeerMessage.Withdraw -> body.writeByte(3).writeName(message.zone).writeLong(message.token)

            is PeerMessage.Known -> body.writeByte(
                4,
            ).writeInt(message.partitions).writeByte(if (message.sound) 1 else 0)

            is PeerMessage.Carry -> {
                body.writeByte(5).writeName(message.method).writeName(message.target).writeInt(message.timeoutMs)
                body.writeInt(message.body?.size ?: -1).write(message.body ?: EMPTY)
            }

            is PeerMessage.Yield -> body.writeByte(7).writeName(message.zone).writeInt(message.owned)

            is PeerMessage.Unknown -> body.writeByte(message.kind)

            is PeerMessage.Carried -> body.writeByte(
                6,
            ).writeInt(message.status).writeInt(message.body.size).write(message.body)
        }
        return Buffer().writeInt(body.size.toInt()).also { it.writeAll(body) }.readByteArray()
    }

    /** Reads the body of one frame; what is not a message is [MalformedMessageException]. */
    fun decode(body: ByteArray): PeerMessage {
        val buffer = Buffer().write(body)
        try {
            val message = when (val kind = buffer.readByte().toInt()) {
                1 -> PeerMessage.Ask

                2 -> PeerMessage.Announce(buffer.readName(), buffer.readLong(), buffer.readInt())

                3 -> PeerMessage.Withdraw(buffer.readName(), buffer.readLong())

                4 -> PeerMessage.Known(buffer.readInt(), buffer.readByte().toInt() != 0)

                5 -> PeerMessage.Carry(
                    buffer.readName(),
                    buffer.readName(),
                    timeoutMs = buffer.readInt(),
                    body = buffer.readBytes(),
                )

                6 -> PeerMessage.Carried(buffer.readInt(), buffer.readBytes() ?: EMPTY)

                7 -> PeerMessage.Yield(buffer.readName(), buffer.readInt())

                else -> return PeerMessage.Unknown(kind)
            }
            if (!buffer.exhausted()) throw MalformedMessageException("bytes after the message")
            return message
        } catch (e: java.io.EOFException) {
            throw MalformedMessageException("message cut short")
        }
    }

    private val EMPTY = ByteArray(0)

    private fun Buffer.readBytes(): ByteArray? {
        val size = readInt()
        return if (size < 0) null else readByteArray(size.toLong())
    }

    private fun Buffer.writeName(name: String): Buffer {
        val bytes = name.encodeToByteArray()
        return writeShort(bytes.size).write(bytes)
    }

    private fun Buffer.readName(): String = readUtf8((readShort().toInt() and 0xffff).toLong())
}
