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

/** A cloud of one machine type, with [capacity] machines of each kind in a zone; its list is two seconds late. */
class FakeCloud(
    zones: List<String>,
    private val capacity: Int,
    private val nowMs: () -> Long,
    private val newWorker: (id: String, zone: String, spot: Boolean) -> SimulatedWorker,
) : Transport {
    private val types = listOf(MachineType("big", 8.0, 0.0, 64.0, 20.0, 1.0, 1.0, 0.4, 3.0, zones))
    private val bids = HashMap<String, List<String>>()
    private val workersById = LinkedHashMap<String, SimulatedWorker>()
    private var lastMachine = 0

    /** It answers nothing but 503. */
    var away = false

    val workers: Collection<SimulatedWorker> get() = workersById.values

    fun boot(zone: String, spot: Boolean): SimulatedWorker {
        val worker = newWorker("m-%06d".format(++lastMachine), zone, spot)
        workersById[worker.id] = worker
        return worker
    }

    /** Takes a machine back without a notice. */
    fun take(id: String) {
        workersById.remove(id)?.end()
    }

    override suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply {
        delay(40)
        if (away) return answer(503, """{"error":"trouble"}""")
        val text = body?.decodeToString().orEmpty()
        return when {
            target == "/flavors" -> answer(200, WireJson.encodeToString(MachineTypes.serializer(), MachineTypes(types)))
            target.startsWith("/machines/release") -> release(text)
            method == "GET" -> list()
            else -> rent(WireJson.decodeFromString(ScaleOutRequest.serializer(), text))
        }
    }

    private fun release(text: String): Reply {
        WireJson.decodeFromString(MachineNames.serializer(), text).machines.forEach(::take)
        return answer(200, "{}")
    }

    private fun list(): Reply {
        val listed = workers.filter { nowMs() - it.bornMs > 2_000 }.map {
            ListedMachine(
                it.id,
                null,
                "big",
                it.zone,
                it.spot,
                ListedMachineState.RUNNING,
                (nowMs() - it.bornMs) / 1000.0,
            )
        }
        return answer(200, WireJson.encodeToString(MachineList.serializer(), MachineList(listed)))
    }

    private fun rent(request: ScaleOutRequest): Reply {
        val names = bids.getOrPut(request.request) {
            val room = capacity - workers.count { it.zone == request.zone && it.spot == request.spot }
            List(minOf(room, request.count).coerceAtLeast(0)) { boot(request.zone, request.spot).id }
        }
        if (names.isEmpty()) {
            bids.remove(request.request)
            return answer(503, """{"error":"no capacity"}""")
        }
        return answer(200, WireJson.encodeToString(MachineNames.serializer(), MachineNames(names)))
    }

    private fun answer(status: Int, text: String): Reply = Reply.Answer(status, text.encodeToByteArray())
}
