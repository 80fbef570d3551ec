package io.otterknot.http

/** Carries requests to one service: an [HttpClient], or a fake service in tests. */
fun interface Transport {
    /**
     * Sends a request to [target] (path and query) and waits up to [timeoutMs] for the response. Returns [Reply.None]
     * after an I/O error instead of throwing.
     */
    suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply
}
