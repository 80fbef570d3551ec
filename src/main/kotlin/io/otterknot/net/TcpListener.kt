package io.otterknot.net

import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel

/** A listening TCP socket. */
class TcpListener private constructor(private val loop: EventLoop, private val channel: ServerSocketChannel) :
    AwaitableSocket(loop, channel) {
    /** The local port, also where the system chose it. */
    val port: Int get() = (channel.localAddress as InetSocketAddress).port

    /** Suspends until a client connects. */
    suspend fun accept(): TcpConnection {
        while (true) {
            channel.accept()?.let { return TcpConnection.of(loop, it) }
            await(SelectionKey.OP_ACCEPT)
        }
    }

    companion object {
        /** Connections that the operating system keeps before they are accepted; it refuses further ones. */
        private const val ACCEPT_BACKLOG = 256

        /**
         * Listens on [address].
         *
         * @throws IOException if the address is in use or not local
         */
        fun bind(loop: EventLoop, address: HostPort): TcpListener {
            val channel = ServerSocketChannel.open()
            @Suppress("TooGenericExceptionCaught") // whatever went wrong, the socket must not leak; it is rethrown
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
