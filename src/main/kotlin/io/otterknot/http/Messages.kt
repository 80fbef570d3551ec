package io.otterknot.http

import io.otterknot.wire.ErrorResponse
import io.otterknot.wire.WireJson
import kotlinx.serialization.KSerializer

/**
 * A request with its complete body.
 *
 * @property query the part of the request target after [path], including the question mark; empty if there is none
 */
class HttpRequest(val method: String, val path: String, val body: ByteArray, val query: String = "")

/**
 * A response with a JSON [body].
 *
 * @property retryAfterS the `Retry-After` header in seconds, or null to leave it out
 * @property allow the methods for the `Allow` header, or null to leave it out
 * @property close whether the connection is closed after the response
 */
class HttpResponse(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val allow: String? = null,
    val close: Boolean = false,
) {
    companion object {
        /** Returns a response whose body is [value] as JSON. */
        fun <T> json(status: Int, serializer: KSerializer<T>, value: T) =
            HttpResponse(status, WireJson.encodeToString(serializer, value).encodeToByteArray())

        /** The longest reason in a refusal: one that quotes a request would make a line as long as the request. */
        private const val MAX_REASON_CHARS = 1_000

        /**
         * Returns a refusal with its [reason], shortened if it is very long, as JSON in the body. [retryAfterS] is set
         * if the client may retry the request after that many seconds.
         */
        fun refusal(
            status: Int,
            reason: String,
            retryAfterS: Int? = null,
            allow: String? = null,
            close: Boolean = false,
        ) = HttpResponse(
            status,
            WireJson.encodeToString(
                ErrorResponse.serializer(),
                ErrorResponse(reason.take(MAX_REASON_CHARS)),
            ).encodeToByteArray(),
            retryAfterS,
            allow,
            close,
        )
    }
}

/** The outcome of a request to another service. */
sealed interface Reply {
    /** A response arrived, successful or not. */
    class Answer(val status: Int, val body: ByteArray) : Reply {
        /** The body as UTF-8. */
        val text: String get() = body.decodeToString()
    }

    /**
     * No response arrived: the request may have been carried out, may still be carried out later, or may never be.
     *
     * @property why the reason for the missing response
     * @property isTooLarge whether a successful response arrived, but has a larger body than the client receives
     */
    class None(val why: String, val isTooLarge: Boolean = false) : Reply
}
