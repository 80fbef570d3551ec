package io.otterknot.net

import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel

/** A listening TCP socket. */
class TcpListener private constructor(private val loop: EventLoop, private val channel: ServerSocketChannel) :
    AwaitableSocket(loop, channel) {
    /** The local port; the one that the operating system chose if the listener was bound to port 0. */
    val port: Int get() = (channel.localAddress as InetSocketAddress).port

    /** Suspends until a client connects. */
    suspend fun accept(): TcpConnection {
        while (true) {
            channel.accept()?.let { return TcpConnection.of(loop, it) }
            await(SelectionKey.OP_ACCEPT)
        }
    }

    companion object {
        /** How many connections the operating system queues before they are accepted; it refuses further ones. */
        private const val ACCEPT_BACKLOG = 256

        /**
         * Listens on [address].
         *
         * @throws IOException if the address is in use or not local
         */
        fun bind(loop: EventLoop, address: HostPort): TcpListener {
            val channel = ServerSocketChannel.open()
            @Suppress("TooGenericExceptionCaught") // the socket must be closed after any failure; it is rethrown
            try {
                channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
                channel.bind(InetSocketAddress(address.host, address.port), ACCEPT_BACKLOG)
                return TcpListener(loop, channel)
            } catch (e: Throwable) {
                channel.close()
                throw e
            }
        }
    }
}
