package io.otterknot.testing

import io.otterknot.http.Reply
import io.otterknot.http.Transport
import io.otterknot.wire.ListedMachine
import io.otterknot.wire.ListedMachineState
import io.otterknot.wire.MachineList
import io.otterknot.wire.MachineNames
import io.otterknot.wire.MachineType
import io.otterknot.wire.MachineTypes
import io.otterknot.wire.ScaleOutRequest
import io.otterknot.wire.WireJson
import kotlinx.coroutines.delay

/**
 * A cloud with one machine type and at most [capacity] machines of each kind (spot or not) in a zone. A new machine
 * appears in the machine list two seconds after it was booted.
 */
class FakeCloud(
    zones: List<String>,
    private val capacity: Int,
    private val nowMs: () -> Long,
    private val newWorker: (id: String, zone: String, spot: Boolean) -> SimulatedWorker,
) : Transport {
    private val types = listOf(MachineType("big", 8.0, 0.0, 64.0, 20.0, 1.0, 1.0, 0.4, 3.0, zones))
    private val machinesByRequest = HashMap<String, List<String>>()
    private val workersById = LinkedHashMap<String, SimulatedWorker>()
    private var lastMachine = 0

    /** Whether every request gets 503. */
    var unavailable = false

    val workers: Collection<SimulatedWorker> get() = workersById.values

    fun boot(zone: String, spot: Boolean): SimulatedWorker {
        val worker = newWorker("m-%06d".format(++lastMachine), zone, spot)
        workersById[worker.id] = worker
        return worker
    }

    /** Terminates a machine without notice. */
    fun reclaim(id: String) {
        workersById.remove(id)?.terminate()
    }

    override suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        delay(40)
        if (unavailable) return answer(503, """{"error":"cloud unavailable"}""")
        val text = body?.decodeToString().orEmpty()
        return when {
            target == "/flavors" -> answer(200, WireJson.encodeToString(MachineTypes.serializer(), MachineTypes(types)))
            target.startsWith("/machines/release") -> release(text)
            method == "GET" -> list()
            else -> scaleOut(WireJson.decodeFromString(ScaleOutRequest.serializer(), text))
        }
    }

    private fun release(text: String): Reply {
        WireJson.decodeFromString(MachineNames.serializer(), text).machines.forEach(::reclaim)
        return answer(200, "{}")
    }

    private fun list(): Reply {
        val listed = workers.filter { nowMs() - it.bootedMs > 2_000 }.map {
            ListedMachine(
                it.id,
                null,
                "big",
                it.zone,
                it.spot,
                ListedMachineState.RUNNING,
                (nowMs() - it.bootedMs) / 1000.0,
            )
        }
        return answer(200, WireJson.encodeToString(MachineList.serializer(), MachineList(listed)))
    }

    private fun scaleOut(request: ScaleOutRequest): Reply {
        val names = machinesByRequest.getOrPut(request.request) {
            val available = capacity - workers.count { it.zone == request.zone && it.spot == request.spot }
            List(minOf(available, request.count).coerceAtLeast(0)) { boot(request.zone, request.spot).id }
        }
        if (names.isEmpty()) {
            machinesByRequest.remove(request.request)
            return answer(503, """{"error":"no capacity"}""")
        }
        return answer(200, WireJson.encodeToString(MachineNames.serializer(), MachineNames(names)))
    }

    private fun answer(status: Int, text: String): Reply = Reply.Answer(status, text.encodeToByteArray())
}
