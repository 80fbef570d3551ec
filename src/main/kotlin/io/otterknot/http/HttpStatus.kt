package io.otterknot.http

/** The status codes (RFC 9110, section 15) that this service sends or checks for. */
object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val CONFLICT = 409
    const val GONE = 410
    const val PAYLOAD_TOO_LARGE = 413
    const val MISDIRECTED_REQUEST = 421
    const val UNPROCESSABLE_CONTENT = 422
    const val TOO_MANY_REQUESTS = 429
    const val INTERNAL_SERVER_ERROR = 500
    const val SERVICE_UNAVAILABLE = 503

    /** Returns the reason phrase for a status line, or "Status" for a code that this service does not send. */
    fun reasonPhrase(status: Int): String = when (status) {
        OK -> "OK"
        CREATED -> "Created"
        BAD_REQUEST -> "Bad Request"
        NOT_FOUND -> "Not Found"
        METHOD_NOT_ALLOWED -> "Method Not Allowed"
        PAYLOAD_TOO_LARGE -> "Payload Too Large"
        MISDIRECTED_REQUEST -> "Misdirected Request"
        UNPROCESSABLE_CONTENT -> "Unprocessable Entity"
        INTERNAL_SERVER_ERROR -> "Internal Server Error"
        SERVICE_UNAVAILABLE -> "Service Unavailable"
        else -> "Status"
    }
}
