package io.otterknot.ownership

import io.otterknot.placement.Partition
import io.otterknot.placement.PartitionJob
import io.otterknot.placement.PartitionView
import io.otterknot.state.JobTransitions
import io.otterknot.state.WriteLimits
import io.otterknot.wire.JobSpec
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.util.BitSet
import kotlin.random.Random

/**
 * Moves tasks that wait in a partition to one with a lower mean. The owner of the partition that gives does it, in a
 * transaction on the job and its partition's key; until the outcome is known the tasks belong to nobody's queue.
 */
class Handover(
    private val txn: OwnerTxn,
    private val ownership: Ownership,
    private val partitions: Map<String, Partition>,
    private val views: Map<String, PartitionView>,
    private val offers: (zone: String, spec: JobSpec) -> Boolean,
    private val limits: WriteLimits,
    private val nowMs: () -> Long,
    private val wallMs: () -> Long,
    private val random: Random,
) {
    private val log = LoggerFactory.getLogger(Handover::class.java)

    suspend fun balance() {
        while (true) {
            delay(EVERY_MS + random.nextLong(400))
            for (partition in partitions.values.toList()) give(partition)
        }
    }

    private suspend fun give(partition: Partition) {
        if (ownership.token(partition.zone) != partition.token || !partition.settled) return
        var moves = 0
        for (held in partition.waitingInOrder(nowMs())) {
            if (moves >= MOVES) return
            val spec = held.spec
            if (held.over || spec.zone != null || held.pending.isEmpty) continue
            // All of such a job is in one zone: it moves as a whole or not at all.
            if (spec.oneZone && !held.allWaits) continue
            val cores = if (spec.spot) partition.load.totalCores else partition.load.ordinaryCores
            val own = if (spec.spot) partition.load.mean() else partition.load.ordinaryMean()
            val target =
                views.values.filter {
                    it.zone != partition.zone && offers(it.zone, spec) &&
                        ownership.ownerOf(it.zone) != null
                }
                    .minByOrNull { it.meanFor(spec) } ?: return
            val gap = own - target.meanFor(spec)
            // Nothing waits for long while another partition has room, however little the means differ.
            val long = wallMs() - held.readyMs > LONG_MS && target.meanFor(spec) < ROOMY
            if (gap < if (long) SMALL_GAP else MIN_GAP) continue
            // Half of the gap, in cores of the smaller partition: both means then meet, and nothing swings back.
            val theirs = if (spec.spot) target.cores else target.ordinaryCores
            val amount = gap / 2 * minOf(maxOf(cores, 1.0), maxOf(theirs, 1.0))
            if (spec.oneZone && !long && held.waitingCores > amount * 2) continue
            val tasks = partition.setAside(held, if (spec.oneZone) Double.MAX_VALUE else maxOf(amount, spec.cores))
            if (tasks.isEmpty) continue
            moves++
            target.raise(spec, tasks.cardinality())
            move(partition, held, tasks, target.zone)
        }
    }

    private suspend fun move(partition: Partition, held: PartitionJob, tasks: BitSet, zone: String) {
        val change = JobTransitions.handOver(held.job, tasks, zone)
        // A value that is too large would be refused.
        if (change == null || !limits.fits(change)) {
            partition.settleHandover(held, tasks)
            return
        }
        val settled = txn.settle(partition, change)
        if (settled == OwnerTxn.Settled.PART_LOST) return
        log.debug("{}: {} tasks of {} to {}: {}", partition.zone, tasks.cardinality(), held.id, zone, settled)
        partition.settleHandover(held, tasks)
    }

    private companion object {
        const val EVERY_MS = 900L
        const val MOVES = 3
        const val MIN_GAP = 0.15
        const val LONG_MS = 45_000L
        const val SMALL_GAP = 0.02
        const val ROOMY = 0.97
    }
}
