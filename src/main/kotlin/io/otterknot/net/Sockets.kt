package io.otterknot.net

import io.otterknot.config.HostPort
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import okio.Buffer
import java.io.Closeable
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/**
 * A socket of an [EventLoop] that one coroutine at a time waits for. The loop goes on watching for what was awaited
 * last: a connection that is served request by request needs no change of what is watched for.
 */
abstract class AwaitableSocket internal constructor(loop: EventLoop, private val selectable: SelectableChannel) :
    Closeable {
    private val key: SelectionKey
    private var waiting: CancellableContinuation<Unit>? = null

    init {
        selectable.configureBlocking(false)
        key = loop.register(selectable, this)
    }

    /** Something came while nobody waited; between two requests that can only be the end of the connection. */
    protected var hasUnawaitedEvent = false
        private set

    protected suspend fun await(operation: Int) {
        if (!key.isValid) throw ClosedChannelException()
        if (key.interestOps() != operation) key.interestOps(operation)
        hasUnawaitedEvent = false
        suspendCancellableCoroutine { continuation ->
            waiting = continuation
            continuation.invokeOnCancellation { waiting = null }
        }
    }

    internal fun becameReady() {
        val continuation = waiting
        waiting = null
        if (continuation != null) {
            continuation.resume(Unit)
        } else if (key.isValid) {
            hasUnawaitedEvent = true
            key.interestOps(0)
        }
    }

    /** Whoever waits gets [cause]; the socket stays open. */
    internal fun interrupt(cause: IOException) {
        val continuation = waiting
        waiting = null
        continuation?.resumeWithException(cause)
    }

    /** Whoever waits gets a [ClosedChannelException]. */
    override fun close() {
        selectable.close()
        val continuation = waiting
        waiting = null
        continuation?.resumeWithException(ClosedChannelException())
    }
}

/** A TCP connection. What has been received and not been used yet is in [input]. */
class TcpConnection internal constructor(private val loop: EventLoop, private val channel: SocketChannel) :
    AwaitableSocket(loop, channel) {
    val input = Buffer()

    /** Nothing of an earlier exchange is left, and the other side has not closed the connection. */
    val isReusable: Boolean get() = channel.isOpen && !hasUnawaitedEvent && input.exhausted()

    /** Waits for more [input]; false: the other side sends no more. */
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

    /** Waits until [input] has at least so many bytes; false: the other side sends no more. */
    suspend fun receive(byteCount: Long): Boolean {
        while (input.size < byteCount) if (!receive()) return false
        return true
    }

    suspend fun send(bytes: ByteArray) {
        var from = 0
        while (from < bytes.size) {
            val buffer = loop.transferBuffer.clear()
            buffer.put(bytes, from, minOf(buffer.remaining(), bytes.size - from)).flip()
            from += channel.write(buffer)
            if (buffer.hasRemaining()) await(SelectionKey.OP_WRITE)
        }
    }

    internal suspend fun connect(address: InetSocketAddress) {
        if (channel.connect(address)) return
        while (!channel.finishConnect()) await(SelectionKey.OP_CONNECT)
    }

    companion object {
        suspend fun open(loop: EventLoop, address: HostPort): TcpConnection {
            val connection = of(loop, SocketChannel.open())
            try {
                connection.connect(InetSocketAddress(address.host, address.port))
                return connection
            } catch (e: Throwable) {
                connection.close()
                throw e
            }
        }

        /** Messages are sent whole, so nothing is won by waiting for more. */
        internal fun of(loop: EventLoop, channel: SocketChannel): TcpConnection = try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            TcpConnection(loop, channel)
        } catch (e: IOException) {
            channel.close()
            throw e
        }
    }
}

/** A listening TCP socket. */
class TcpListener private constructor(private val loop: EventLoop, private val channel: ServerSocketChannel) :
    AwaitableSocket(loop, channel) {
    val port: Int get() = (channel.localAddress as InetSocketAddress).port

    suspend fun accept(): TcpConnection {
        while (true) {
            channel.accept()?.let { return TcpConnection.of(loop, it) }
            await(SelectionKey.OP_ACCEPT)
        }
    }

    companion object {
        /** How many connections the system keeps that have not been accepted yet. */
        private const val BACKLOG = 256

        fun bind(loop: EventLoop, address: HostPort): TcpListener {
            val channel = ServerSocketChannel.open()
            try {
                channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
                channel.bind(InetSocketAddress(address.host, address.port), BACKLOG)
                return TcpListener(loop, channel)
            } catch (e: Throwable) {
                channel.close()
                throw e
            }
        }
    }
}
