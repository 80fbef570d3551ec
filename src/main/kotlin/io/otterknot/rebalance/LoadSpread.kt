package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadMode
import io.otterknot.config.LoadSpreadSettings
import io.otterknot.config.TeamSettings
import io.otterknot.jobs.Job
import io.otterknot.partition.Partition
import io.otterknot.reassignment.TaskReassignment
import io.otterknot.records.PressureRecord
import io.otterknot.scheduling.PartitionView
import io.otterknot.wire.JobSpec
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random

/** What load spread needs of the controller that it runs in. */
interface LoadSpreadHost {
    val partitions: Map<String, Partition>
    val views: Map<String, PartitionView>
    val teams: List<TeamSettings>

    /** All jobs that are not over, in all partitions. */
    val liveJobs: Collection<Job>

    /** Whether this node may act for [partition] now. */
    fun mayActFor(partition: Partition): Boolean

    /** The state service answers this node. */
    val hasState: Boolean

    /** Whether some controller owns the partition of [zone]. */
    fun isOwned(zone: String): Boolean

    /** Whether the cloud offers a type in [zone] that the job may use. */
    fun offers(zone: String, spec: JobSpec): Boolean
}

/**
 * Keeps busy teams from crowding others out: decides which waiting work goes to which partition, and which running work
 * is stopped so as to be placed anew. Where a task then goes is decided as ever, by its partition's scheduler. The
 * settings are asked for at each turn, so it can be switched on and off while it runs.
 */
class LoadSpread(
    private val host: LoadSpreadHost,
    private val transfer: TaskReassignment,
    private val settings: () -> LoadSpreadSettings,
    private val nowMs: () -> Long,
    private val wallMs: () -> Long,
    private val random: Random,
) {
    private val board = PressureTracker(host.teams, host.partitions, host.views)
    private val cover = QuotaCoverage(host.teams)
    private val desks = HashMap<String, PartitionMoveExecutor>()

    /** Partitions with an owner, looked up once for all plans of a turn. */
    private var ownedZones = emptyList<String>()
    private var active = LoadSpreadSettings()
    private var slowUntilMs = Long.MIN_VALUE
    private var coveredMs = Long.MIN_VALUE / 2

    /** Whether load spread decides what the partition of [zone] hands over, now that it runs and nothing pauses it. */
    fun decidesHandOvers(zone: String): Boolean =
        active.mode == LoadSpreadMode.ACT && active.handOvers && desks[zone]?.isPlanning == true

    /** What the owner of [partition] publishes with its mean; null while load spread is off. */
    fun record(partition: Partition): PressureRecord? = if (active.isOn) board.record(partition) else null

    /** How many moves have ended in each state, by kind, in the partitions owned now. */
    fun ends(): Map<Pair<MoveKind, MoveState>, Int> {
        val sum = HashMap<Pair<MoveKind, MoveState>, Int>()
        for (desk in desks.values) desk.journal.ends.forEach { (end, count) -> sum.merge(end, count, Int::plus) }
        return sum
    }

    /** Runs until cancelled. */
    suspend fun run() = coroutineScope {
        while (true) {
            val before = nowMs()
            val pauseMs = if (active.isOn) pauseMs() else OFF_MS
            delay(pauseMs)
            val late = nowMs() - before - pauseMs
            if (late > SLOW_MS) slowUntilMs = nowMs() + SLOW_FOR_MS
            takeSettings()
            if (active.isOn) turn(this)
        }
    }

    private fun pauseMs(): Long = (active.planEveryS * 1000).toLong() + random.nextLong(JITTER_MS)

    private fun takeSettings() {
        val wanted = settings()
        if (wanted == active) return
        active = wanted
        for (desk in desks.values) desk.close(nowMs())
        desks.clear()
        for (partition in host.partitions.values) {
            partition.markCovered(nowMs(), beforeAll = false) { false }
            if (!wanted.isOn) partition.waitingWork.unfollow()
        }
    }

    private fun turn(scope: CoroutineScope) {
        val now = nowMs()
        keepDesks(now)
        if (desks.isEmpty()) return
        markCovered(now)
        val cluster = board.look()
        ownedZones = host.views.keys.filter(host::isOwned)
        for (desk in desks.values) {
            val paused = pause(desk.partition, now)
            val handOvers = desk.turn(cluster, paused, now, wallMs())
            if (handOvers.isNotEmpty()) scope.launch { desk.mover.handOver(handOvers) }
        }
    }

    /** One desk for each partition that this node owns, under the token that it owns it with. */
    private fun keepDesks(now: Long) {
        val ended = desks.values.filter { host.partitions[it.partition.zone] !== it.partition }
        for (desk in ended) {
            desk.close(now)
            desks.remove(desk.partition.zone)
        }
        for (partition in host.partitions.values) {
            desks.getOrPut(partition.zone) {
                PartitionMoveExecutor(partition, active, transfer, ::owns, ::targets, random, now)
            }
        }
    }

    private fun owns(partition: Partition): Boolean = host.partitions[partition.zone] === partition

    private fun targets(spec: JobSpec): List<String> = ownedZones.filter { host.offers(it, spec) }

    private fun markCovered(now: Long) {
        val isUsed = active.mode == LoadSpreadMode.ACT && active.guarantees && !cover.isEmpty
        if (!isUsed || now - coveredMs < COVER_MS) return
        coveredMs = now
        val covered = cover.covered(host.liveJobs.mapNotNull(UnfinishedJob::of))
        for (partition in host.partitions.values) {
            partition.markCovered(now, active.anyPriority) { it.id in covered }
        }
    }

    private fun pause(partition: Partition, now: Long): PauseReason? = when {
        !host.mayActFor(partition) -> PauseReason.NOT_OWNER
        !partition.reconciled || now <= partition.priorLeaderUntilMs -> PauseReason.IN_DOUBT
        !host.hasState -> PauseReason.OUTAGE
        now < slowUntilMs -> PauseReason.SLOW
        else -> null
    }

    private companion object {
        const val OFF_MS = 2_000L
        const val JITTER_MS = 200L
        const val SLOW_MS = 1_500L
        const val SLOW_FOR_MS = 5_000L
        const val COVER_MS = 1_000L
    }
}
