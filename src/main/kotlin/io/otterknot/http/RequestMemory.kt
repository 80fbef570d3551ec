package io.otterknot.http

/** There is no memory for another request at the moment; the client has to retry it. */
internal class RequestMemoryExhaustedException :
    Exception("too many requests are being received", null, false, false)

/**
 * The memory for requests that an [HttpServer] has received in part, or has not answered yet, over all connections. A
 * request is small, but a machine allows thousands of connections, and all of them together must leave most of the heap
 * to the rest of the process.
 */
internal class RequestMemory(private val maxBytes: Long) {
    private var reservedBytes = 0L

    /** Memory reserved for the current request of one connection. */
    inner class Reservation {
        private var bytes = 0L

        /**
         * Reserves another [additionalBytes].
         *
         * @throws RequestMemoryExhaustedException if all requests together would have more than [maxBytes]
         */
        fun add(additionalBytes: Long) {
            if (reservedBytes + additionalBytes > maxBytes) throw RequestMemoryExhaustedException()
            reservedBytes += additionalBytes
            bytes += additionalBytes
        }

        /** Releases all that was reserved. */
        fun release() {
            reservedBytes -= bytes
            bytes = 0
        }
    }
}
