package io.otterknot.http

import io.otterknot.wire.Refusal
import io.otterknot.wire.WireJson
import kotlinx.serialization.KSerializer

/** [query] is what follows the path, with its question mark. */
class HttpRequest(val method: String, val path: String, val body: ByteArray, val query: String = "")

class HttpResponse(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val allow: String? = null,
    val close: Boolean = false,
) {
    companion object {
        fun <T> json(status: Int, serializer: KSerializer<T>, value: T) =
            HttpResponse(status, WireJson.encodeToString(serializer, value).encodeToByteArray())

        /** Every refusal says why; one that may be tried again says when. */
        fun refusal(status: Int, why: String, retryAfterS: Int? = null, allow: String? = null, close: Boolean = false) =
            HttpResponse(
                status,
                WireJson.encodeToString(Refusal.serializer(), Refusal(why)).encodeToByteArray(),
                retryAfterS,
                allow,
                close,
            )
    }
}

/** What came of a request to another service. */
sealed interface Reply {
    class Answer(val status: Int, val body: ByteArray) : Reply {
        val text: String get() = body.decodeToString()
    }

    /** The request may have been carried out, may still be carried out later, or never. */
    class None(val why: String) : Reply
}

internal val reasons = mapOf(
    200 to "OK", 201 to "Created", 400 to "Bad Request", 404 to "Not Found", 405 to "Method Not Allowed",
    413 to "Payload Too Large", 421 to "Misdirected Request", 422 to "Unprocessable Entity",
    500 to "Internal Server Error", 503 to "Service Unavailable",
)
