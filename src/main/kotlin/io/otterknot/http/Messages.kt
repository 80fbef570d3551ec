package io.otterknot.http

import io.otterknot.wire.ErrorResponse
import io.otterknot.wire.WireJson
import kotlinx.serialization.KSerializer

/** A request whose body has arrived whole; [query] is what follows [path], with its question mark. */
class HttpRequest(val method: String, val path: String, val body: ByteArray, val query: String = "")

/**
 * A response with a JSON [body].
 *
 * @property retryAfterS seconds for `Retry-After`; null: the field is left out
 * @property allow the methods for `Allow`; null: the field is left out
 * @property close whether the connection is closed after it
 */
class HttpResponse(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val allow: String? = null,
    val close: Boolean = false,
) {
    companion object {
        /** A response with [value] as its body. */
        fun <T> json(status: Int, serializer: KSerializer<T>, value: T) =
            HttpResponse(status, WireJson.encodeToString(serializer, value).encodeToByteArray())

        /** A refusal with its [reason] in the body; one that may be retried says after how many seconds. */
        fun refusal(
            status: Int,
            reason: String,
            retryAfterS: Int? = null,
            allow: String? = null,
            close: Boolean = false,
        ) = HttpResponse(
            status,
            WireJson.encodeToString(ErrorResponse.serializer(), ErrorResponse(reason)).encodeToByteArray(),
            retryAfterS,
            allow,
            close,
        )
    }
}

/** The outcome of a request to another service. */
sealed interface Reply {
    /** A response arrived, whatever its [status]. */
    class Answer(val status: Int, val body: ByteArray) : Reply {
        /** The body as UTF-8. */
        val text: String get() = body.decodeToString()
    }

    /** No response: the request may have been carried out, may still be carried out later, or never. */
    class None(val why: String) : Reply
}
