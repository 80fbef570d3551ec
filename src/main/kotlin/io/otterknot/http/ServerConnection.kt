package io.otterknot.http

import io.otterknot.net.TcpConnection
import java.io.IOException

/**
 * Time limits for the clients of [HttpServer].
 *
 * @property idleMs how long a connection may stay open without a request, in milliseconds
 * @property requestMs how long a request may take to arrive completely after its first byte was seen, in milliseconds
 * @property checkMs the interval at which all connections are checked against the other two limits, in milliseconds
 */
class ConnectionLimits(val idleMs: Long = 180_000, val requestMs: Long = 10_000, val checkMs: Long = 5_000)

/** The request did not arrive completely within [ConnectionLimits.requestMs]. */
internal class RequestTimeoutException : IOException("the request did not arrive completely within the request timeout")

/**
 * A connection of [HttpServer] and the times from which its [ConnectionLimits] are counted; [memory] is reserved for its
 * current request.
 */
internal class ServerConnection(val socket: TcpConnection, val memory: RequestMemory.Reservation) {
    private var isAwaitingRequest = true
    private var hasHead = false
    private var idleSinceNs = System.nanoTime()

    /** When [enforce] first saw that the current request has begun, or null if it has not seen that yet. */
    private var requestFirstSeenNs: Long? = null

    private val hasRequestBegun: Boolean get() = hasHead || !socket.input.exhausted()

    /** Starts the idle time and releases the memory of the previous request; called before the next request is read. */
    fun awaitRequest() {
        memory.release()
        idleSinceNs = System.nanoTime()
        requestFirstSeenNs = null
        hasHead = false
        isAwaitingRequest = true
    }

    /** Called when the head of the request has arrived; a body may follow. */
    fun headReceived() {
        hasHead = true
    }

    /**
     * Called when the request is complete: from now until [awaitRequest] the client waits for the server, and no time
     * limit applies.
     */
    fun requestReceived() {
        isAwaitingRequest = false
    }

    /** Closes the socket and releases the memory of the current request. */
    fun close() {
        memory.release()
        socket.close()
    }

    /**
     * Closes the connection if it has been idle for longer than allowed. Interrupts the reading of a request that takes
     * longer than allowed to arrive.
     */
    fun enforce(limits: ConnectionLimits, nowNs: Long) {
        if (!isAwaitingRequest) return
        if (!hasRequestBegun) {
            if (nowNs - idleSinceNs > limits.idleMs * NS_PER_MS) socket.close()
            return
        }
        val firstSeenNs = requestFirstSeenNs ?: nowNs.also { requestFirstSeenNs = it }
        if (nowNs - firstSeenNs > limits.requestMs * NS_PER_MS) socket.interrupt(RequestTimeoutException())
    }

    private companion object {
        const val NS_PER_MS = 1_000_000L
    }
}
