package io.otterknot.autoscaling

import io.otterknot.cloud.CloudClient
import io.otterknot.cloud.ScaleOutResult
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.ServiceLevelObjectives
import io.otterknot.wire.JobSpec
import io.otterknot.wire.ListedMachine
import io.otterknot.wire.ListedMachineState
import io.otterknot.wire.MachineType
import io.otterknot.wire.ScaleOutRequest
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** Rents machines for the partitions this node owns, and gives back what is idle, broken or never came up. */
class Autoscaler(
    private val cloud: CloudClient,
    private val catalog: MachineTypeCatalog,
    private val ownership: PartitionLeadership,
    private val partitions: Map<String, Partition>,
    private val policy: ScalingPolicy,
    private val aims: ServiceLevelObjectives,
    private val reportMs: Long,
    private val leaseMs: Long,
    private val nowMs: () -> Long,
    private val random: Random,
) {
    private val log = LoggerFactory.getLogger(Autoscaler::class.java)

    private class Coming(val zone: String, val kind: MachineKind, val cores: Double, val sinceMs: Long)

    /** A request that got no answer: it is repeated, under the same name, until it has one. */
    private class Open(val request: ScaleOutRequest)

    private val coming = HashMap<String, Coming>()
    private val closedUntil = HashMap<Pair<String, MachineKind>, Long>()
    private val open = ArrayList<Open>()
    private val recentDemand = HashMap<String, RecentDemand>()
    private val gone = HashSet<String>()
    private val unreachableMs = HashMap<String, Long>()
    private val listedMachines = CloudInventory(partitions, leaseMs, catalog::type)
    private var counter = 0L

    /** Rents what is asked for and gives back what can be spared, until cancelled. */
    suspend fun manage() {
        while (true) {
            delay(TICK_MS + random.nextLong(200))
            val offered = catalog.types ?: continue
            settleOpen()
            for (zone in partitions.keys.toList()) {
                val partition = partitions[zone] ?: continue
                if (ownership.token(zone) != partition.fencingToken) continue
                partition.machines.forEach { coming.remove(it.id) }
                release(partition.fleet.unresponsive(nowMs(), maxOf(HUNG_REPORTS * reportMs, HUNG_MS)), "hung")
                returnUnreachable(partition)
                partition.machines.forEach { it.drainingForScaleIn = false }
                val view = view(partition)
                retire(partition, view)
                returnIdle(partition)
                if (open.none { it.request.zone == zone } &&
                    !listedMachines.isCutOff(partition)
                ) {
                    rent(partition, view, offered)
                }
            }
        }
    }

    private suspend fun settleOpen() {
        for (entry in open.toList()) {
            if (ownership.acquiredToken(entry.request.zone) == null) {
                // The next owner finds what it may have rented in the list or by its reports.
                open.remove(entry)
                continue
            }
            handle(entry.request)
        }
    }

    private suspend fun rent(partition: Partition, view: ScalingInputs, offered: List<MachineType>) {
        val zone = partition.zone
        val now = nowMs()
        val rents = policy.rent(view, offered, zone) { (closedUntil[zone to it] ?: 0L) > now }
        for (rent in rents) {
            // The token makes the name new for every owner, the counter for every request of one owner.
            val name = "$zone-${partition.fencingToken}-${++counter}"
            handle(ScaleOutRequest(name, rent.kind.type, zone, rent.kind.spot, rent.count.coerceIn(1, 50)))
        }
    }

    private suspend fun handle(request: ScaleOutRequest) {
        val kind = MachineKind(request.type, request.spot)
        when (val outcome = cloud.rent(request)) {
            is ScaleOutResult.Rented -> {
                open.removeAll { it.request.request == request.request }
                val cores = catalog.type(request.type)?.cores ?: 0.0
                outcome.machines.forEach { coming[it] = Coming(request.zone, kind, cores, nowMs()) }
                log.info(
                    "{}: rented {} of {} {}{}",
                    request.zone,
                    outcome.machines.size,
                    request.count,
                    request.type,
                    if (request.spot) " (spot)" else "",
                )
                if (outcome.machines.size < request.count) close(request.zone, kind)
            }

            ScaleOutResult.NoCapacity -> {
                open.removeAll { it.request.request == request.request }
                close(request.zone, kind)
            }

            ScaleOutResult.Refused -> open.removeAll { it.request.request == request.request }

            ScaleOutResult.Unknown -> if (open.none { it.request.request == request.request }) open.add(Open(request))
        }
    }

    private fun close(zone: String, kind: MachineKind) {
        closedUntil[zone to kind] = nowMs() + CLOSED_MS + random.nextLong(CLOSED_MS)
    }

    private fun view(partition: Partition): ScalingInputs {
        var ordinary = 0.0
        var total = 0.0
        for (machine in partition.machines) {
            if (!machine.inService || machine.losesResponses) continue
            total += machine.type.cores
            if (!machine.spot) ordinary += machine.type.cores
        }
        // Machines that an earlier owner had are heard of only by and by: before that, all would seem to be missing.
        for (type in partition.fleet.unreportedTypes()) {
            val cores = catalog.type(type)?.cores ?: 0.0
            total += cores
            ordinary += cores
        }
        for (expected in coming.values) {
            if (expected.zone != partition.zone) continue
            total += expected.cores
            if (!expected.kind.spot) ordinary += expected.cores
        }
        val bootS = catalog.types.orEmpty().filter { partition.zone in it.zones }.minOfOrNull { it.bootS } ?: 0.0
        val share = partition.jobs.maxOfOrNull { aims.readyShare(it.spec, bootS) } ?: 0.0
        val recent = recentDemand.getOrPut(partition.zone) { RecentDemand() }
        recent.share = maxOf(recent.share, share)
        // Only work that cannot wait for a boot has machines kept for it; the rest takes them as it comes.
        fun wanted(window: DemandWindow, of: (JobSpec) -> Boolean): Double {
            val prompt = partition.load.demand { of(it) && aims.readyShare(it, bootS) > 0 }
            return window.note(nowMs(), prompt, recent.share) + partition.load.demand(of) - prompt
        }
        return ScalingInputs(wanted(recent.ordinary) { !it.spot }, wanted(recent.total) { true }, ordinary, total)
    }

    /**
     * Spreading work over all machines, as the design does, leaves few of them idle when demand falls. So what a
     * partition can do without is emptied first, the least loaded machine before others, and taken back into use if
     * demand returns before it is empty.
     */
    private fun retire(partition: Partition, whole: ScalingInputs) {
        var view = whole
        val candidates = partition.machines.filter { it.acceptsTasks && nowMs() - it.firstSeenMs > KEEP_MS }
            .sortedWith(compareBy<Machine> { it.spot }.thenBy { it.bookedShare() })
        var retiring = 0
        for (machine in candidates) {
            if (!policy.spares(view, machine.spot, machine.type.cores)) continue
            machine.drainingForScaleIn = true
            retiring++
            view = view.without(machine.spot, machine.type.cores)
        }
        log.debug(
            "{}: demand {} ({} ordinary), supply {} ({} ordinary) on {} machines, {} retiring, cores by phase {}",
            partition.zone,
            whole.totalDemand,
            whole.ordinaryDemand,
            whole.totalSupply,
            whole.ordinarySupply,
            partition.machines.size,
            retiring,
            if (log.isDebugEnabled) partition.load.coresByPhase() else "",
        )
    }

    /** Not all at once: should it be the way there that is broken, others would fare no better. */
    private suspend fun returnUnreachable(partition: Partition) {
        val lost = partition.fleet.losingResponses()
        val now = nowMs()
        if (lost.isEmpty() || now - (unreachableMs[partition.zone] ?: Long.MIN_VALUE / 2) < leaseMs) return
        unreachableMs[partition.zone] = now
        release(lost.take(maxOf(1, partition.machines.size / 3)), "answers do not reach them")
    }

    private suspend fun returnIdle(partition: Partition) {
        val out = partition.machines.filter {
            it.attempts.isEmpty() && !it.leaseExpired &&
                (it.drainingForScaleIn || (it.draining && !it.hasSpotNotice))
        }
        if (out.isEmpty()) return
        out.forEach { it.draining = true }
        release(out.map { it.id }, "idle or faulty")
    }

    private suspend fun release(ids: List<String>, why: String) {
        if (ids.isEmpty()) return
        log.info("returning {}: {}", ids, why)
        if (!cloud.release(ids.take(100))) return
        for (id in ids.take(100)) {
            coming.remove(id)
            gone.add(id)
            partitions.values.forEach { it.fleet.machineReleased(id) }
        }
    }

    /** Compares the lagging list with what reports, to find machines that will never be of use. */
    suspend fun inspect() {
        while (true) {
            delay(INSPECT_MS + random.nextLong(1_000))
            if (partitions.isEmpty()) continue
            val listed = cloud.machines() ?: continue
            val now = nowMs()
            val useless = ArrayList<String>()
            val silentZones = listedMachines.silentZones(listed)
            for (machine in listed) {
                val partition = partitions[machine.zone] ?: continue
                if (machine.id in gone || ownership.token(machine.zone) != partition.fencingToken) continue
                // When most machines of a zone are silent it is cut off: they come back with it, new ones would not.
                if (machine.zone in silentZones && machine.state == ListedMachineState.RUNNING) {
                    listedMachines.excuse(machine)
                    continue
                }
                if (listedMachines.isUseless(machine, partition, now)) useless.add(machine.id)
            }
            for (machine in listed) expect(machine, now)
            val ids = listed.mapTo(HashSet()) { it.id }
            coming.entries.removeIf { it.key !in ids && now - it.value.sinceMs > VANISHED_MS }
            // A machine that neither reports nor is listed has been taken.
            for (partition in partitions.values) {
                partition.machines.filter {
                    it.leaseExpired && it.id !in ids && now - it.lastHeartbeatMs > VANISHED_MS
                }.forEach { partition.fleet.forget(it.id) }
            }
            release(useless, "failed, silent or never up")
        }
    }

    /** A machine that an earlier owner rented and that is still booting: without it, the same would be rented again. */
    private fun expect(machine: ListedMachine, now: Long) {
        val partition = partitions[machine.zone] ?: return
        if (machine.state != ListedMachineState.BOOTING || machine.id in gone || machine.id in coming ||
            partition.machine(machine.id) != null
        ) {
            return
        }
        val type = catalog.type(machine.type) ?: return
        if (machine.ageS > type.bootS * LIKELY_BOOT) return
        coming[machine.id] = Coming(machine.zone, MachineKind(machine.type, machine.spot), type.cores, now)
    }

    private class RecentDemand {
        val ordinary = DemandWindow()
        val total = DemandWindow()
        var share = 0.0
    }

    private companion object {
        const val TICK_MS = 800L
        const val INSPECT_MS = 5_000L
        const val CLOSED_MS = 6_000L
        const val VANISHED_MS = 30_000L
        const val LIKELY_BOOT = 2.0
        const val HUNG_REPORTS = 3
        const val HUNG_MS = 4_500L
        const val KEEP_MS = 30_000L
    }
}
