package io.otterknot.http

/** Something that carries requests to one service: a [HttpClient], or a stand-in for the service in tests. */
fun interface Transport {
    suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply
}
