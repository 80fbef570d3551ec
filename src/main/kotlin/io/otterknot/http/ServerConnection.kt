package io.otterknot.http

import io.otterknot.net.TcpConnection
import java.io.IOException

/**
 * Bounds on how long a client may let its connection wait.
 *
 * @property idleMs how long a connection may stay open without a request, in milliseconds
 * @property requestMs how long a request may take to arrive whole once its first byte has been seen, in milliseconds
 * @property checkMs how often all connections are checked against the other two, in milliseconds
 */
class ConnectionLimits(val idleMs: Long = 180_000, val requestMs: Long = 10_000, val checkMs: Long = 5_000)

/** The request did not arrive whole within [ConnectionLimits.requestMs]. */
internal class LateRequestException : IOException("the request did not come whole in time")

/** A connection of [HttpServer] together with how long its client has let it wait. */
internal class ServerConnection(val socket: TcpConnection) {
    private var isAwaitingRequest = true
    private var hasHead = false
    private var idleSinceNs = System.nanoTime()

    /** When the arriving request was first seen to have begun; null while nothing of it has arrived. */
    private var requestSeenNs: Long? = null

    private val hasRequestBegun: Boolean get() = hasHead || !socket.input.exhausted()

    /** The previous response has been sent; the next request may come. */
    fun awaitRequest() {
        idleSinceNs = System.nanoTime()
        requestSeenNs = null
        hasHead = false
        isAwaitingRequest = true
    }

    /** The head of the request has arrived; a body may have to follow. */
    fun headReceived() {
        hasHead = true
    }

    /** The request is whole: from now on the client waits for the server, without bound. */
    fun requestReceived() {
        isAwaitingRequest = false
    }

    /** Closes the connection if it is idle for too long, and interrupts the reading of a request that is late. */
    fun enforce(limits: ConnectionLimits, nowNs: Long) {
        if (!isAwaitingRequest) return
        if (!hasRequestBegun) {
            if (nowNs - idleSinceNs > limits.idleMs * NS_PER_MS) socket.close()
            return
        }
        val seenNs = requestSeenNs ?: nowNs.also { requestSeenNs = it }
        if (nowNs - seenNs > limits.requestMs * NS_PER_MS) socket.interrupt(LateRequestException())
    }

    private companion object {
        const val NS_PER_MS = 1_000_000L
    }
}
