package io.otterknot.cloud

import io.otterknot.http.HttpStatus
import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.ratelimit.RateLimiter
import io.otterknot.wire.ListedMachine
import io.otterknot.wire.MachineList
import io.otterknot.wire.MachineNames
import io.otterknot.wire.MachineType
import io.otterknot.wire.MachineTypes
import io.otterknot.wire.ScaleOutRequest
import io.otterknot.wire.WireJson
import io.otterknot.wire.decodeJson
import kotlinx.serialization.KSerializer

/**
 * A client of the cloud's HTTP interface (PROTOCOL). Each call first waits for [rateLimiter], which keeps this
 * controller within its share of the cloud's limit.
 */
class CloudClient(private val http: Transport, private val rateLimiter: RateLimiter) {

    /** Returns the machine types that the cloud offers. */
    suspend fun types(): CloudResult<List<MachineType>> {
        rateLimiter.acquire()
        return when (val result = decode(MachineTypes.serializer(), get("/flavors"))) {
            is CloudResult.Success -> CloudResult.Success(result.value.types)
            is CloudResult.Failure -> result
        }
    }

    /** Returns all machines of the cloud's list, which is updated with a delay. Reads it page by page. */
    suspend fun machines(): CloudResult<List<ListedMachine>> {
        val all = ArrayList<ListedMachine>()
        var afterId: String? = null
        while (true) {
            rateLimiter.acquire()
            val after = if (afterId == null) "" else "After=$afterId&"
            val page = when (val result = decode(MachineList.serializer(), get("/machines?${after}Page=$PAGE_SIZE"))) {
                is CloudResult.Success -> result.value
                is CloudResult.Failure -> return result
            }
            all.addAll(page.machines)
            if (!page.more || page.machines.isEmpty()) return CloudResult.Success(all)
            afterId = page.machines.last().id
        }
    }

    /** Requests machines. The cloud carries out a request with the same id only once, however often it is sent. */
    suspend fun scaleOut(request: ScaleOutRequest): ScaleOutResult {
        rateLimiter.acquire()
        val body = WireJson.encodeToString(ScaleOutRequest.serializer(), request).encodeToByteArray()
        return when (val reply = http.call("POST", "/machines", body, TIMEOUT_MS)) {
            is Reply.None -> ScaleOutResult.Unanswered(reply.why)
            is Reply.Answer -> scaleOutResult(reply)
        }
    }

    private fun scaleOutResult(response: Reply.Answer): ScaleOutResult = when (response.status) {
        HttpStatus.OK -> when (val granted = decode(MachineNames.serializer(), response)) {
            is CloudResult.Success -> ScaleOutResult.Granted(granted.value.machines)
            is CloudResult.Failure -> ScaleOutResult.Unanswered(granted.error)
        }

        HttpStatus.SERVICE_UNAVAILABLE -> when {
            NO_CAPACITY in response.text -> ScaleOutResult.NoCapacity
            else -> ScaleOutResult.Refused(describe(response))
        }

        HttpStatus.BAD_REQUEST, HttpStatus.TOO_MANY_REQUESTS -> ScaleOutResult.Refused(describe(response))

        else -> ScaleOutResult.Unanswered(describe(response))
    }

    /** Releases [machines]. Success means that the machines and all tasks on them no longer exist. */
    suspend fun release(machines: List<String>): CloudResult<Unit> {
        rateLimiter.acquire()
        val body = WireJson.encodeToString(MachineNames.serializer(), MachineNames(machines)).encodeToByteArray()
        return when (val reply = http.call("POST", "/machines/release", body, TIMEOUT_MS)) {
            is Reply.None -> CloudResult.Failure(reply.why)
            is Reply.Answer -> if (reply.status == HttpStatus.OK) RELEASED else failure(reply)
        }
    }

    private suspend fun get(target: String): Reply = http.call("GET", target, null, TIMEOUT_MS)

    private fun <T> decode(serializer: KSerializer<T>, reply: Reply): CloudResult<T> = when (reply) {
        is Reply.None -> CloudResult.Failure(reply.why)
        is Reply.Answer -> if (reply.status == HttpStatus.OK) parse(serializer, reply) else failure(reply)
    }

    private fun <T> parse(serializer: KSerializer<T>, response: Reply.Answer): CloudResult<T> = try {
        CloudResult.Success(decodeJson(serializer, response.text))
    } catch (e: IllegalArgumentException) {
        CloudResult.Failure("response body cannot be decoded: ${e.message}")
    }

    private fun failure(response: Reply.Answer) = CloudResult.Failure(describe(response))

    private fun describe(response: Reply.Answer) = "status ${response.status}: ${response.text}"

    private companion object {
        const val TIMEOUT_MS = 4_000L

        /** The maximum number of machines in one page of the list (PROTOCOL, GET /machines). */
        const val PAGE_SIZE = 500

        /** Contained in the body of a 503 response for lack of machines, but not if the cloud itself is unavailable. */
        const val NO_CAPACITY = "capacity"
        val RELEASED = CloudResult.Success(Unit)
    }
}
