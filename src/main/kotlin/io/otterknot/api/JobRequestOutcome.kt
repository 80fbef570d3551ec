package io.otterknot.api

import io.otterknot.http.HttpResponse
import io.otterknot.http.HttpStatus
import io.otterknot.wire.JobStatus

/** The outcome of a user's request about one job; [JobApi] converts it to an HTTP response. */
internal sealed interface JobRequestOutcome {
    /** This request created the job. */
    class Created(val status: JobStatus) : JobRequestOutcome

    /** The job existed before the request, as after a repeated submission; [status] is its current status. */
    class Existing(val status: JobStatus) : JobRequestOutcome

    /** No job with this [id] has been accepted. */
    class NotFound(val id: String) : JobRequestOutcome

    /** The submission does not follow the protocol, or is too large to be stored. */
    class Malformed(val reason: String) : JobRequestOutcome

    /** The job could never run. */
    class Unsatisfiable(val reason: String) : JobRequestOutcome

    /** The request cannot be answered at the moment; the user has to retry it. */
    class Unavailable(val reason: UnavailableReason) : JobRequestOutcome
}

/** Why a request has to be retried; [message] is the error text of the response. */
internal enum class UnavailableReason(val message: String) {
    STARTING("starting"),
    ISOLATED("cut off from the state service and from all other controllers"),
    JOBS_NOT_LOADED("the jobs have not been read yet"),
    MACHINE_TYPES_UNKNOWN("the machine types are not known yet"),
    JOB_NOT_LOADED("the job exists, but its state has not been read from the state service yet"),
    CANCELLATION_ATTEMPTS_EXHAUSTED(
        "the cancellation is not confirmed: the job changed during the attempts, or the state service refused their " +
            "size or did not answer",
    ),
    RATE_LIMITED("the rate limit on changes to the state service is reached"),
    STORE_UNREACHABLE("the state service is away"),
    REPLICA_BEHIND("the job changed, and the change has not been read from the state service in time"),
    OUTCOME_UNKNOWN("the state service did not answer in time; the change may still be applied"),
    STORE_REFUSES_CHANGES("the state service does not take changes at the moment"),
}

/**
 * Converts the outcome to an HTTP response. [closeIfUnavailable] returns whether a response of
 * [JobRequestOutcome.Unavailable] closes the connection, so that the user connects to another controller.
 */
internal fun JobRequestOutcome.toResponse(closeIfUnavailable: () -> Boolean): HttpResponse = when (this) {
    is JobRequestOutcome.Created -> HttpResponse.json(HttpStatus.CREATED, JobStatus.serializer(), status)
    is JobRequestOutcome.Existing -> HttpResponse.json(HttpStatus.OK, JobStatus.serializer(), status)
    is JobRequestOutcome.NotFound -> HttpResponse.refusal(HttpStatus.NOT_FOUND, "no job $id")
    is JobRequestOutcome.Malformed -> HttpResponse.refusal(HttpStatus.BAD_REQUEST, reason)
    is JobRequestOutcome.Unsatisfiable -> HttpResponse.refusal(HttpStatus.UNPROCESSABLE_CONTENT, reason)
    is JobRequestOutcome.Unavailable -> unavailableResponse(reason, closeIfUnavailable())
}

internal fun unavailableResponse(reason: UnavailableReason, close: Boolean): HttpResponse =
    HttpResponse.refusal(HttpStatus.SERVICE_UNAVAILABLE, reason.message, retryAfterS = 1, close = close)
