package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadMode
import io.otterknot.config.LoadSpreadSettings
import io.otterknot.partition.Partition
import io.otterknot.reassignment.ReassignmentTransactions
import io.otterknot.records.PressureRecord
import io.otterknot.wire.JobSpec
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random

/**
 * Prevents teams with high demand from displacing others: plans which waiting tasks are reassigned to another partition
 * and which running tasks are stopped to be placed again. The partition's scheduler places them like any other task.
 * The settings are read in each round, so that load spread can be switched on and off at run time.
 */
class LoadSpread(
    private val host: LoadSpreadHost,
    private val reassignment: ReassignmentTransactions,
    private val settings: () -> LoadSpreadSettings,
    private val nowMs: () -> Long,
    private val wallMs: () -> Long,
    private val random: Random,
) {
    private val pressureTracker = PressureTracker(host.teams, host.partitions, host.views)
    private val quotaCoverage = QuotaCoverage(host.teams)
    private val rebalancers = HashMap<String, PartitionRebalancer>()

    /** Zones whose partition has a leader; determined once for all plans of a round. */
    private var zonesWithLeader = emptyList<String>()
    private var activeSettings = LoadSpreadSettings()
    private var overloadedUntilMs = Long.MIN_VALUE
    private var coverageUpdatedMs = Long.MIN_VALUE / 2

    /**
     * Whether load spread decides the reassignments of the partition of [zone]: its mode is `ACT`, the settings let it
     * reassign tasks, and planning is not paused there.
     */
    fun decidesReassignments(zone: String): Boolean =
        activeSettings.mode == LoadSpreadMode.ACT && activeSettings.reassignsTasks &&
            rebalancers[zone]?.isPlanning == true

    /** Returns the pressure that the leader of [partition] publishes, or null if load spread is off. */
    fun record(partition: Partition): PressureRecord? =
        if (activeSettings.isOn) pressureTracker.record(partition) else null

    /** Returns the number of ended moves by kind and final state, in the partitions that this controller leads. */
    fun endedMoveCounts(): Map<Pair<MoveKind, MoveState>, Int> {
        val sum = HashMap<Pair<MoveKind, MoveState>, Int>()
        for (rebalancer in rebalancers.values) {
            rebalancer.journal.endedMoveCounts.forEach { (end, count) -> sum.merge(end, count, Int::plus) }
        }
        return sum
    }

    /** Runs planning rounds until cancelled; pauses planning if a delay shows that the controller is overloaded. */
    suspend fun run() = coroutineScope {
        while (true) {
            val before = nowMs()
            val roundIntervalMs = if (activeSettings.isOn) roundIntervalMs() else SETTINGS_POLL_MS
            delay(roundIntervalMs)
            val delayedMs = nowMs() - before - roundIntervalMs
            if (delayedMs > OVERLOAD_DELAY_MS) overloadedUntilMs = nowMs() + OVERLOAD_PAUSE_MS
            applySettings()
            if (activeSettings.isOn) runRound(this)
        }
    }

    private fun roundIntervalMs(): Long = (activeSettings.planEveryS * 1000).toLong() + random.nextLong(PLAN_JITTER_MS)

    private fun applySettings() {
        val newSettings = settings()
        if (newSettings == activeSettings) return
        activeSettings = newSettings
        for (rebalancer in rebalancers.values) rebalancer.close(nowMs())
        rebalancers.clear()
        for (partition in host.partitions.values) {
            partition.markWithinGuarantee(nowMs(), beforeAll = false) { false }
            if (!newSettings.isOn) partition.waitingWork.unfollow()
        }
    }

    private fun runRound(scope: CoroutineScope) {
        val now = nowMs()
        reconcileRebalancers(now)
        if (rebalancers.isEmpty()) return
        markWithinGuarantee(now)
        val cluster = pressureTracker.clusterPressure()
        zonesWithLeader = host.views.keys.filter(host::hasLeader)
        for (rebalancer in rebalancers.values) {
            val pausedBy = pauseReason(rebalancer.partition, now)
            val reassignments = rebalancer.runRound(cluster, pausedBy, now, wallMs())
            if (reassignments.isNotEmpty()) scope.launch { rebalancer.moveExecutor.reassign(reassignments) }
        }
    }

    /** Keeps one rebalancer for each partition and fencing token that this controller leads; closes the others. */
    private fun reconcileRebalancers(now: Long) {
        val ended = rebalancers.values.filter { host.partitions[it.partition.zone] !== it.partition }
        for (rebalancer in ended) {
            rebalancer.close(now)
            rebalancers.remove(rebalancer.partition.zone)
        }
        for (partition in host.partitions.values) {
            rebalancers.getOrPut(partition.zone) {
                PartitionRebalancer(partition, activeSettings, reassignment, ::isLed, ::targets, random, now)
            }
        }
    }

    private fun isLed(partition: Partition): Boolean = host.partitions[partition.zone] === partition

    private fun targets(spec: JobSpec): List<String> = zonesWithLeader.filter { host.offers(it, spec) }

    private fun markWithinGuarantee(now: Long) {
        val isUsed = activeSettings.mode == LoadSpreadMode.ACT && activeSettings.guarantees && !quotaCoverage.isEmpty
        if (!isUsed || now - coverageUpdatedMs < COVERAGE_INTERVAL_MS) return
        coverageUpdatedMs = now
        val withinGuarantee = quotaCoverage.withinGuarantee(host.liveJobs.mapNotNull(UnfinishedJob::of))
        for (partition in host.partitions.values) {
            partition.markWithinGuarantee(now, activeSettings.anyPriority) { it.id in withinGuarantee }
        }
    }

    private fun pauseReason(partition: Partition, now: Long): PlanningPauseReason? = when {
        !host.mayActFor(partition) -> PlanningPauseReason.NOT_LEADER
        !partition.reconciled || now <= partition.priorLeaderUntilMs -> PlanningPauseReason.UNRECONCILED
        !host.isStoreAvailable -> PlanningPauseReason.STORE_UNAVAILABLE
        now < overloadedUntilMs -> PlanningPauseReason.CONTROLLER_OVERLOADED
        else -> null
    }

    private companion object {
        const val SETTINGS_POLL_MS = 2_000L
        const val PLAN_JITTER_MS = 200L
        const val OVERLOAD_DELAY_MS = 1_500L
        const val OVERLOAD_PAUSE_MS = 5_000L
        const val COVERAGE_INTERVAL_MS = 1_000L
    }
}
