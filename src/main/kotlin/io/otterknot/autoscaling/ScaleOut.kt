package io.otterknot.autoscaling

import io.otterknot.cloud.CloudClient
import io.otterknot.cloud.ScaleOutResult
import io.otterknot.partition.Partition
import io.otterknot.wire.MachineType
import io.otterknot.wire.ScaleOutRequest
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Requests machines from the cloud. A request without a response is retried under the same name until it is answered,
 * since the cloud may have carried it out. A kind of which the cloud has no capacity left is not requested for a while.
 */
class ScaleOut(
    private val cloud: CloudClient,
    private val catalog: MachineTypeCatalog,
    private val policy: ScalingPolicy,
    private val ledPartitions: LedPartitions,
    private val expected: ExpectedMachines,
    private val nowMs: () -> Long,
    private val random: Random,
) {
    private val log = LoggerFactory.getLogger(ScaleOut::class.java)

    private data class ZonedKind(val zone: String, val kind: MachineKind)

    /** Requests without a response, by request name, the oldest first. */
    private val unanswered = LinkedHashMap<String, ScaleOutRequest>()
    private val exhaustedUntilMs = HashMap<ZonedKind, Long>()
    private var requestCount = 0L

    fun hasUnanswered(zone: String): Boolean = unanswered.values.any { it.zone == zone }

    /** Retries the unanswered requests, and drops those of partitions that this controller no longer leads. */
    suspend fun retryUnanswered() {
        for (request in unanswered.values.toList()) {
            if (ledPartitions.hasAcquired(request.zone)) {
                send(request)
            } else {
                // The next leader finds any granted machines in the cloud's list or through their heartbeats.
                unanswered.remove(request.request)
            }
        }
    }

    /** Requests the machines that [partition] lacks according to [policy]. */
    suspend fun requestMissing(partition: Partition, inputs: ScalingInputs, types: List<MachineType>) {
        val zone = partition.zone
        val now = nowMs()
        val decisions = policy.scaleOut(inputs, types, zone) { kind ->
            now < (exhaustedUntilMs[ZonedKind(zone, kind)] ?: 0L)
        }
        for (decision in decisions) {
            // The fencing token makes the name unique among leaders, the counter among the requests of one leader.
            val name = "$zone-${partition.fencingToken}-${++requestCount}"
            val count = decision.count.coerceIn(1, MAX_MACHINES_PER_REQUEST)
            send(ScaleOutRequest(name, decision.kind.type, zone, decision.kind.spot, count))
        }
    }

    private suspend fun send(request: ScaleOutRequest) {
        val result = cloud.scaleOut(request)
        if (result is ScaleOutResult.Unanswered) {
            unanswered[request.request] = request
        } else {
            unanswered.remove(request.request)
        }
        when (result) {
            is ScaleOutResult.Granted -> expect(request, result.machines)
            ScaleOutResult.NoCapacity -> markExhausted(request)
            is ScaleOutResult.Refused -> logFailure(request, result.error)
            is ScaleOutResult.Unanswered -> logFailure(request, result.error)
        }
    }

    /**
     * Records the granted [machines] as expected. If there are fewer than requested, the cloud has no more machines of
     * this kind.
     */
    private fun expect(request: ScaleOutRequest, machines: List<String>) {
        val kind = MachineKind(request.type, request.spot)
        val cores = catalog.type(request.type)?.cores ?: 0.0
        machines.forEach { expected.add(it, ExpectedMachine(request.zone, kind, cores, nowMs())) }
        log.info(
            "partition={} type={} spot={} requested={} granted={} scaled out",
            request.zone,
            request.type,
            request.spot,
            request.count,
            machines.size,
        )
        if (machines.size < request.count) markExhausted(request)
    }

    private fun markExhausted(request: ScaleOutRequest) {
        val key = ZonedKind(request.zone, MachineKind(request.type, request.spot))
        exhaustedUntilMs[key] = nowMs() + EXHAUSTED_MS + random.nextLong(EXHAUSTED_MS)
    }

    private fun logFailure(request: ScaleOutRequest, error: String) =
        log.debug("partition={} type={} error={} scale-out not confirmed", request.zone, request.type, error)

    private companion object {
        /** Maximum number of machines in one request (PROTOCOL, POST /machines). */
        const val MAX_MACHINES_PER_REQUEST = 50

        /** A kind without capacity is not requested for this long plus a random delay of up to the same length. */
        const val EXHAUSTED_MS = 6_000L
    }
}
