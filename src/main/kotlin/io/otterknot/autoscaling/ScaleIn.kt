package io.otterknot.autoscaling

import io.otterknot.cloud.CloudClient
import io.otterknot.cloud.CloudResult
import io.otterknot.partition.Partition
import io.otterknot.scheduling.Machine
import org.slf4j.LoggerFactory

/** Drains surplus machines of a partition, and releases machines that are drained or no longer usable. */
class ScaleIn(
    private val cloud: CloudClient,
    private val policy: ScalingPolicy,
    private val ledPartitions: LedPartitions,
    private val expected: ExpectedMachines,
    private val timings: HeartbeatTimings,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger(ScaleIn::class.java)
    private val releasedIds = HashSet<String>()
    private val lastLossReleaseMs = HashMap<String, Long>()

    /** Whether this controller has released the machine. The cloud's list may still show it for a while. */
    fun wasReleased(id: String): Boolean = id in releasedIds

    /** Releases machines that do not report while others do; see [ScaleInReason.UNRESPONSIVE]. */
    suspend fun releaseUnresponsive(partition: Partition) {
        val timeoutMs = maxOf(MISSED_HEARTBEATS * timings.heartbeatPeriodMs, MIN_UNRESPONSIVE_MS)
        release(partition.fleet.unresponsive(nowMs(), timeoutMs), ScaleInReason.UNRESPONSIVE)
    }

    /**
     * Releases machines that lose responses, but within one lease at most one in [LOSING_RESPONSES_DIVISOR] of the
     * partition's machines (at least one): if the network is at fault, other machines would lose responses too.
     */
    suspend fun releaseLosingResponses(partition: Partition) {
        val machines = partition.fleet.losingResponses()
        val now = nowMs()
        val lastMs = lastLossReleaseMs[partition.zone]
        val isTooSoon = lastMs != null && now - lastMs < timings.leaseMs
        if (machines.isEmpty() || isTooSoon) return
        lastLossReleaseMs[partition.zone] = now
        val maxReleases = maxOf(1, partition.machines.size / LOSING_RESPONSES_DIVISOR)
        release(machines.take(maxReleases), ScaleInReason.LOSING_RESPONSES)
    }

    /** Cancels the drains of all machines that are being drained for scale-in. */
    fun cancelDrains(partition: Partition) = partition.machines.forEach { it.cancelDrain() }

    /**
     * Drains the machines that the partition can spare, ordinary machines before spot instances, and of each kind the
     * least loaded first. Draining is needed because tasks are spread over all machines, so few machines would become
     * empty when demand falls. Each round selects the machines again, because demand may rise before they are empty.
     */
    fun drainSurplus(partition: Partition, inputs: ScalingInputs) {
        val now = nowMs()
        val candidates = partition.machines.filter { it.acceptsTasks && now - it.firstSeenMs > MIN_SERVICE_MS }
            .sortedWith(compareBy<Machine> { it.spot }.thenBy { it.resources.bookedShare() })
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

    /** Releases the machines that are drained or faulty and have no task left. */
    suspend fun releaseDrained(partition: Partition) {
        val machines = partition.machines.filter(::isReleasable)
        if (machines.isEmpty()) return
        machines.forEach { it.quarantine() }
        release(machines.map { it.id }, ScaleInReason.DRAINED)
    }

    /**
     * Whether [machine] is empty, has a valid lease, and is draining or quarantined. A quarantined machine with a spot
     * notice is not released here, because the cloud reclaims it.
     */
    private fun isReleasable(machine: Machine): Boolean {
        if (machine.attempts.isNotEmpty() || machine.leaseExpired) return false
        return machine.draining || (machine.quarantined && !machine.hasSpotNotice)
    }

    /**
     * Releases the machines [ids], at most [MAX_MACHINES_PER_RELEASE] of them. If the cloud does not confirm the
     * release, no state changes here, and the next round retries.
     */
    suspend fun release(ids: List<String>, reason: ScaleInReason) {
        if (ids.isEmpty()) return
        log.info("machines={} reason={} scaling in", ids, reason.logName)
        val batch = ids.take(MAX_MACHINES_PER_RELEASE)
        val result = cloud.release(batch)
        if (result is CloudResult.Failure) {
            log.debug("machines={} error={} scale-in not confirmed", batch, result.error)
            return
        }
        for (id in batch) {
            expected.remove(id)
            releasedIds.add(id)
            ledPartitions.all.forEach { it.fleet.machineReleased(id, nowMs()) }
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
        /** Maximum number of machines in one request (PROTOCOL, POST /machines/release). */
        const val MAX_MACHINES_PER_RELEASE = 100

        /** A machine is unresponsive after this many heartbeat intervals, but not before [MIN_UNRESPONSIVE_MS]. */
        const val MISSED_HEARTBEATS = 3
        const val MIN_UNRESPONSIVE_MS = 4_500L

        /** Within one lease, at most one machine in this many, but at least one, is released for losing responses. */
        const val LOSING_RESPONSES_DIVISOR = 3

        /** A machine is not drained until this long after its first heartbeat. */
        const val MIN_SERVICE_MS = 30_000L
    }
}
