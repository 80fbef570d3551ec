package io.otterknot.api

import io.otterknot.http.HttpResponse
import io.otterknot.http.HttpStatus
import io.otterknot.wire.JobStatus

/** What came of a user's request about one job; [JobApi] turns it into a response. */
internal sealed interface JobRequestOutcome {
    /** This request created the job. */
    class Created(val status: JobStatus) : JobRequestOutcome

    /** The job existed before, so that a submission of it is an idempotent request; [status] is its present one. */
    class Existing(val status: JobStatus) : JobRequestOutcome

    /** No job of this id has been accepted. */
    class NotFound(val id: String) : JobRequestOutcome

    /** The submission does not follow the protocol, or is too large to be stored. */
    class Malformed(val reason: String) : JobRequestOutcome

    /** The job could never run. */
    class Unsatisfiable(val reason: String) : JobRequestOutcome

    /** Nothing can be said at the moment; the user has to repeat the request. */
    class Unavailable(val reason: UnavailableReason) : JobRequestOutcome
}

/** Why a request has to be repeated; [message] is part of the response. */
internal enum class UnavailableReason(val message: String) {
    STARTING("starting"),
    ISOLATED("cut off from the state service and from all other controllers"),
    JOBS_NOT_READ("the jobs have not been read yet"),
    MACHINE_TYPES_UNKNOWN("the machine types are not known yet"),
    JOB_NOT_READ("the job is known; its state is being read"),
    JOB_CHANGING("the job is changing"),
    RATE_LIMITED("too many changes at the moment"),
    STORE_AWAY("the state service is away"),
    STORE_SLOW("the state service is slow"),
    STORE_SILENT("the state service did not answer"),
    STORE_REFUSES_CHANGES("the state service does not take changes at the moment"),
}

/** [closeIfUnavailable]: whether an unavailable controller closes the connection, so that the user tries another. */
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
