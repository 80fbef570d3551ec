package io.otterknot.net

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.Closeable
import java.io.IOException
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/**
 * A non-blocking socket registered with an [EventLoop]; at most one coroutine at a time waits for it. The interest set
 * is not cleared after a wait, so a connection on which one request after another is read does not have to change it.
 */
abstract class AwaitableSocket internal constructor(loop: EventLoop, private val selectable: SelectableChannel) :
    Closeable {
    private val key: SelectionKey
    private var waiter: CancellableContinuation<Unit>? = null

    init {
        selectable.configureBlocking(false)
        key = loop.register(selectable, this)
    }

    /**
     * Whether the socket became ready while no coroutine waited. Between two requests the only possible cause is that
     * the peer has closed the connection.
     */
    protected var hasUnawaitedEvent = false
        private set

    /**
     * Suspends until the socket is ready for [operation], one of the `SelectionKey.OP_` constants.
     *
     * @throws ClosedChannelException if the socket is closed already or during the wait
     */
    protected suspend fun await(operation: Int) {
        if (!key.isValid) throw ClosedChannelException()
        if (key.interestOps() != operation) key.interestOps(operation)
        hasUnawaitedEvent = false
        suspendCancellableCoroutine { continuation ->
            waiter = continuation
            continuation.invokeOnCancellation { waiter = null }
        }
    }

    /**
     * Resumes the waiting coroutine; called by the event loop when the selector reports the socket as ready. If no
     * coroutine waits, records the event and clears the interest set.
     */
    internal fun onReady() {
        val continuation = waiter
        waiter = null
        if (continuation != null) {
            continuation.resume(Unit)
        } else if (key.isValid) {
            hasUnawaitedEvent = true
            key.interestOps(0)
        }
    }

    /** Resumes the waiting coroutine, if any, with the exception [cause]; the socket stays open. */
    internal fun interrupt(cause: IOException) {
        val continuation = waiter
        waiter = null
        continuation?.resumeWithException(cause)
    }

    /** Closes the socket and resumes a waiting coroutine with a [ClosedChannelException]. */
    override fun close() {
        selectable.close()
        val continuation = waiter
        waiter = null
        continuation?.resumeWithException(ClosedChannelException())
    }
}
