package io.otterknot.autoscaling

import io.otterknot.cloud.CloudClient
import io.otterknot.cloud.CloudResult
import io.otterknot.partition.Partition
import io.otterknot.scheduling.Machine
import org.slf4j.LoggerFactory

/** Drains the machines that a partition can do without, and releases those that are empty or of no use any more. */
class ScaleIn(
    private val cloud: CloudClient,
    private val policy: ScalingPolicy,
    private val led: LedPartitions,
    private val expected: ExpectedMachines,
    private val timings: HeartbeatTimings,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(ScaleIn::class.java)
    private val releasedIds = HashSet<String>()
    private val lossesHandledMs = HashMap<String, Long>()

    /** Whether this controller has released the machine; the cloud's list may show it for some time yet. */
    fun wasReleased(id: String): Boolean = id in releasedIds

    suspend fun releaseUnresponsive(partition: Partition) {
        val timeoutMs = maxOf(MISSED_HEARTBEATS * timings.heartbeatPeriodMs, MIN_UNRESPONSIVE_MS)
        release(partition.fleet.unresponsive(nowMs(), timeoutMs), ScaleInReason.UNRESPONSIVE)
    }

    /** Not all at once: if the network is at fault, other machines would lose responses too. */
    suspend fun releaseLosingResponses(partition: Partition) {
        val machines = partition.fleet.losingResponses()
        val now = nowMs()
        val lastMs = lossesHandledMs[partition.zone]
        val isTooSoon = lastMs != null && now - lastMs < timings.leaseMs
        if (machines.isEmpty() || isTooSoon) return
        lossesHandledMs[partition.zone] = now
        val atMost = maxOf(1, partition.machines.size / LOSING_RESPONSES_DIVISOR)
        release(machines.take(atMost), ScaleInReason.LOSING_RESPONSES)
    }

    /** Takes the machines that are being drained because of low demand back into service. */
    fun cancelDrains(partition: Partition) = partition.machines.forEach { it.cancelDrain() }

    /**
     * Drains what the partition can do without, ordinary machines before spot instances and the least loaded first.
     * Tasks are spread over all machines, so few would become empty by themselves when demand falls. Each round decides
     * anew: a machine is needed again if demand returns before it is empty.
     */
    fun drainSurplus(partition: Partition, inputs: ScalingInputs) {
        val now = nowMs()
        val candidates = partition.machines.filter { it.acceptsTasks && now - it.firstSeenMs > MIN_SERVICE_MS }
            .sortedWith(compareBy<Machine> { it.spot }.thenBy { it.bookedShare() })
        var remaining = inputs
        var draining = 0
        for (machine in candidates) {
            if (!policy.canSpare(remaining, machine.spot, machine.type.cores)) continue
            machine.drain()
            draining++
            remaining = remaining.without(machine.spot, machine.type.cores)
        }
        logInputs(partition, inputs, draining)
    }

    suspend fun releaseDrained(partition: Partition) {
        val machines = partition.machines.filter(::isReleasable)
        if (machines.isEmpty()) return
        machines.forEach { it.quarantine() }
        release(machines.map { it.id }, ScaleInReason.DRAINED)
    }

    /** A machine with a spot notice goes by itself. */
    private fun isReleasable(machine: Machine): Boolean {
        if (machine.attempts.isNotEmpty() || machine.leaseExpired) return false
        return machine.draining || (machine.quarantined && !machine.hasSpotNotice)
    }

    /** Releases the machines [ids]; if the cloud does not confirm it, nothing changes here and the next round retries. */
    suspend fun release(ids: List<String>, reason: ScaleInReason) {
        if (ids.isEmpty()) return
        log.info("machines={} reason={} scaling in", ids, reason.logName)
        val batch = ids.take(MAX_MACHINES_PER_RELEASE)
        val result = cloud.release(batch)
        if (result is CloudResult.Failure) {
            log.debug("machines={} error={} not scaled in", batch, result.error)
            return
        }
        for (id in batch) {
            expected.remove(id)
            releasedIds.add(id)
            led.all.forEach { it.fleet.machineReleased(id) }
        }
    }

    private fun logInputs(partition: Partition, inputs: ScalingInputs, draining: Int) {
        if (!log.isDebugEnabled) return
        log.debug(
            "partition={} demand_cores={} ordinary_demand_cores={} supply_cores={} ordinary_supply_cores={} " +
                "machines={} draining={} cores_by_phase={} scaling measured",
            partition.zone,
            inputs.totalDemandCores,
            inputs.ordinaryDemandCores,
            inputs.totalSupplyCores,
            inputs.ordinarySupplyCores,
            partition.machines.size,
            draining,
            partition.load.coresByPhase(),
        )
    }

    private companion object {
        /** The most names in one request (PROTOCOL, POST /machines/release). */
        const val MAX_MACHINES_PER_RELEASE = 100

        /** A machine is unresponsive after so many heartbeat intervals, but not before [MIN_UNRESPONSIVE_MS]. */
        const val MISSED_HEARTBEATS = 3
        const val MIN_UNRESPONSIVE_MS = 4_500L

        /** Of a partition's machines one in so many, or one, is released within a lease for losing responses. */
        const val LOSING_RESPONSES_DIVISOR = 3

        /** A machine that reported for the first time less than this ago is not drained. */
        const val MIN_SERVICE_MS = 30_000L
    }
}
