package io.otterknot.controller

import io.otterknot.api.JobApi
import io.otterknot.heartbeat.HeartbeatEndpoint
import io.otterknot.http.HttpRequest
import io.otterknot.http.HttpResponse

/** Routes requests of users, workers and the load balancer to the endpoint that answers them, by path and method. */
class RequestRouter(private val jobApi: JobApi, private val heartbeats: HeartbeatEndpoint) {
    suspend fun route(request: HttpRequest): HttpResponse {
        val path = request.path
        return when {
            path == HEARTBEAT_PATH -> requireMethod(request, "POST") { heartbeats.receive(request.body) }
            path == READINESS_PATH -> requireMethod(request, "GET") { jobApi.readiness() }
            path == JOBS_PATH -> requireMethod(request, "POST") { jobApi.submit(request.body) }
            path.startsWith(JOB_PREFIX) -> routeJob(request, path.removePrefix(JOB_PREFIX))
            else -> unknownPath()
        }
    }

    /** Routes a request about one job; [subPath] is the part of the path after [JOB_PREFIX]. */
    private suspend fun routeJob(request: HttpRequest, subPath: String): HttpResponse {
        val isCancellation = subPath.endsWith(CANCELLATION_SUFFIX) && subPath.length > CANCELLATION_SUFFIX.length
        if (isCancellation) {
            return requireMethod(request, "POST") { jobApi.cancel(subPath.removeSuffix(CANCELLATION_SUFFIX)) }
        }
        if ('/' in subPath) return unknownPath()
        return requireMethod(request, "GET") { jobApi.poll(subPath) }
    }

    private fun unknownPath() = HttpResponse.refusal(404, "no such path")

    /** Calls [serve] if the request has the given [method], and refuses the request otherwise. */
    private suspend fun requireMethod(
        request: HttpRequest,
        method: String,
        serve: suspend () -> HttpResponse,
    ): HttpResponse {
        if (request.method == method) return serve()
        return HttpResponse.refusal(405, "only $method", allow = method)
    }

    private companion object {
        const val HEARTBEAT_PATH = "/v1/report"
        const val READINESS_PATH = "/ready"
        const val JOBS_PATH = "/submissions"
        const val JOB_PREFIX = "$JOBS_PATH/"
        const val CANCELLATION_SUFFIX = "/withdraw"
    }
}
