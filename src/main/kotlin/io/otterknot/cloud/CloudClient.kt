package io.otterknot.cloud

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
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

sealed interface ScaleOutResult {
    class Rented(val machines: List<String>) : ScaleOutResult

    /** Nothing was rented; there is none of this kind now. */
    data object NoCapacity : ScaleOutResult

    /** Nothing was rented, for a reason that says nothing about capacity. */
    data object Refused : ScaleOutResult

    /** Perhaps rented: only the same request again tells. */
    data object Unknown : ScaleOutResult
}

/** The cloud's interface, within this node's share of its limit. */
class CloudClient(private val http: Transport, private val budget: RateLimiter) {

    suspend fun types(): List<MachineType>? {
        budget.acquire()
        return decode(MachineTypes.serializer(), http.call("GET", "/flavors", null, CALL_MS))?.types
    }

    suspend fun machines(): List<ListedMachine>? {
        val all = ArrayList<ListedMachine>()
        var after: String? = null
        while (true) {
            budget.acquire()
            val from = if (after == null) "" else "After=$after&"
            val page =
                decode(MachineList.serializer(), http.call("GET", "/machines?${from}Page=500", null, CALL_MS))
                    ?: return null
            all.addAll(page.machines)
            if (!page.more || page.machines.isEmpty()) return all
            after = page.machines.last().id
        }
    }

    suspend fun rent(request: ScaleOutRequest): ScaleOutResult {
        budget.acquire()
        val body = WireJson.encodeToString(ScaleOutRequest.serializer(), request).encodeToByteArray()
        return when (val reply = http.call("POST", "/machines", body, CALL_MS)) {
            is Reply.None -> ScaleOutResult.Unknown

            is Reply.Answer -> when {
                reply.status == 200 -> decode(MachineNames.serializer(), reply)?.let {
                    ScaleOutResult.Rented(it.machines)
                }
                    ?: ScaleOutResult.Unknown

                reply.status == 503 && "capacity" in reply.text -> ScaleOutResult.NoCapacity

                reply.status == 400 || reply.status == 429 || reply.status == 503 -> ScaleOutResult.Refused

                else -> ScaleOutResult.Unknown
            }
        }
    }

    /** True only once the machines and everything on them are gone. */
    suspend fun release(machines: List<String>): Boolean {
        budget.acquire()
        val body = WireJson.encodeToString(MachineNames.serializer(), MachineNames(machines)).encodeToByteArray()
        val reply = http.call("POST", "/machines/release", body, CALL_MS)
        return reply is Reply.Answer && reply.status == 200
    }

    private fun <T> decode(serializer: KSerializer<T>, reply: Reply): T? {
        if (reply !is Reply.Answer || reply.status != 200) return null
        return try {
            WireJson.decodeFromString(serializer, reply.text)
        } catch (e: SerializationException) {
            null
        }
    }

    private companion object {
        const val CALL_MS = 4_000L
    }
}
