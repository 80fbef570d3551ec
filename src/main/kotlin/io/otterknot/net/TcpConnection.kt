package io.otterknot.net

import okio.Buffer
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel

/** A TCP connection. */
class TcpConnection internal constructor(private val loop: EventLoop, private val channel: SocketChannel) :
    AwaitableSocket(loop, channel) {
    /** Bytes that have been received and not consumed yet. */
    val input = Buffer()

    /** Whether another request can be sent: no bytes of an earlier response are left and the peer has not closed it. */
    val isReusable: Boolean get() = channel.isOpen && !hasUnawaitedEvent && input.exhausted()

    /** Suspends until more [input] has arrived; returns false if the peer has shut down its side instead. */
    suspend fun receive(): Boolean {
        while (true) {
            await(SelectionKey.OP_READ)
            val buffer = loop.transferBuffer.clear()
            val count = channel.read(buffer)
            if (count < 0) return false
            if (count > 0) {
                input.write(buffer.flip())
                return true
            }
        }
    }

    /** Suspends until [input] holds at least [byteCount] bytes; false if the peer shuts down its side before. */
    suspend fun receive(byteCount: Long): Boolean {
        while (input.size < byteCount) if (!receive()) return false
        return true
    }

    /** Suspends until all of [bytes] have been handed to the operating system. */
    suspend fun send(bytes: ByteArray) {
        var sentCount = 0
        while (sentCount < bytes.size) {
            val buffer = loop.transferBuffer.clear()
            buffer.put(bytes, sentCount, minOf(buffer.remaining(), bytes.size - sentCount)).flip()
            sentCount += channel.write(buffer)
            if (buffer.hasRemaining()) await(SelectionKey.OP_WRITE)
        }
    }

    internal suspend fun connect(address: InetSocketAddress) {
        if (channel.connect(address)) return
        while (!channel.finishConnect()) await(SelectionKey.OP_CONNECT)
    }

    companion object {
        /**
         * Connects to [address].
         *
         * @throws IOException if the connection is refused or the host is unknown
         */
        suspend fun open(loop: EventLoop, address: HostPort): TcpConnection {
            val connection = of(loop, SocketChannel.open())
            @Suppress("TooGenericExceptionCaught") // the socket must be closed after any failure; it is rethrown
            try {
                connection.connect(InetSocketAddress(address.host, address.port))
                return connection
            } catch (e: Throwable) {
                connection.close()
                throw e
            }
        }

        /**
         * Wraps [channel] with Nagle's algorithm disabled: each message is sent in one write, so delaying small packets
         * has no benefit.
         */
        internal fun of(loop: EventLoop, channel: SocketChannel): TcpConnection = try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            TcpConnection(loop, channel)
        } catch (e: IOException) {
            channel.close()
            throw e
        }
    }
}
