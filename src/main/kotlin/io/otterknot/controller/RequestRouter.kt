package io.otterknot.controller

import io.otterknot.api.JobApi
import io.otterknot.heartbeat.HeartbeatEndpoint
import io.otterknot.http.HttpRequest
import io.otterknot.http.HttpResponse

/** Hands a request of a user, a worker or the load balancer to what answers it, by path and method. */
class RequestRouter(private val users: JobApi, private val reports: HeartbeatEndpoint) {
    suspend fun route(request: HttpRequest): HttpResponse {
        val path = request.path
        if (path == "/v1/report") return allow(request, "POST") { reports.handle(request.body) }
        if (path == "/ready") return allow(request, "GET") { users.ready() }
        if (path == "/submissions") return allow(request, "POST") { users.submit(request.body) }
        if (path.startsWith(JOB_PATH)) return routeJob(request, path.removePrefix(JOB_PATH))
        return unknownPath()
    }

    /** [rest] is the path after `/submissions/`. */
    private suspend fun routeJob(request: HttpRequest, rest: String): HttpResponse {
        if (rest.endsWith(WITHDRAW) && rest.length > WITHDRAW.length) {
            return allow(request, "POST") { users.withdraw(rest.removeSuffix(WITHDRAW)) }
        }
        if ('/' in rest) return unknownPath()
        return allow(request, "GET") { users.poll(rest) }
    }

    private fun unknownPath() = HttpResponse.refusal(404, "no such path")

    private suspend fun allow(request: HttpRequest, method: String, serve: suspend () -> HttpResponse): HttpResponse {
        if (request.method == method) return serve()
        return HttpResponse.refusal(405, "only $method", allow = method)
    }

    private companion object {
        const val JOB_PATH = "/submissions/"
        const val WITHDRAW = "/withdraw"
    }
}
