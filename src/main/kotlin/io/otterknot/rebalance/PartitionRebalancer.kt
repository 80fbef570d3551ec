package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadMode
import io.otterknot.config.LoadSpreadSettings
import io.otterknot.partition.Partition
import io.otterknot.reassignment.ReassignmentTransactions
import io.otterknot.wire.JobSpec
import kotlin.random.Random

/**
 * Plans and executes the moves of one partition while this controller leads it under one fencing token; it is replaced
 * when the settings change.
 */
internal class PartitionRebalancer(
    val partition: Partition,
    private val settings: LoadSpreadSettings,
    reassignment: ReassignmentTransactions,
    isLed: (Partition) -> Boolean,
    targets: (JobSpec) -> List<String>,
    random: Random,
    now: Long,
) {
    private val isActing = settings.mode == LoadSpreadMode.ACT
    private val history = MoveHistory()
    private val budget = LostWorkBudget(now)
    private val planner = MovePlanner(settings)
    private val snapshotBuilder = SnapshotBuilder(settings, targets, random)
    private val waitCauses = WaitCauses(settings.examinedJobs)
    private var waitCausesCountedMs = now

    val journal = MoveJournal(partition.zone, now, observeOnly = !isActing)
    val moveExecutor = MoveExecutor(partition, reassignment, journal, history, budget) { isLed(partition) }

    /** Whether the last round made a plan; false after [close]. */
    var isPlanning = false
        private set

    /**
     * Runs one round: updates the open moves, plans, and starts the planned stops. Returns the reassignments to
     * execute; none if [pausedBy] is not null or load spread only observes. [now] is the time of the monotonic clock,
     * [wallMs] that of the wall clock.
     */
    fun runRound(
        cluster: ClusterPressure,
        pausedBy: PlanningPauseReason?,
        now: Long,
        wallMs: Long,
    ): List<Move.Reassignment> {
        moveExecutor.advance(now)
        history.evictExpired(partition, now, (settings.taskCooldownS * 1000).toLong())
        countWaits(cluster, now)
        journal.logSummaryIfDue(now)
        isPlanning = pausedBy == null
        if (pausedBy != null) {
            journal.paused(pausedBy)
            return emptyList()
        }
        budget.refill(now, cluster.partitions.getValue(partition.zone).capacity.cores, settings.lostWorkShare)
        val open = moveExecutor.summarizeOpenMoves()
        val plan = planner.plan(
            snapshotBuilder.build(partition, cluster, history, open, budget.availableCoreS, now, wallMs),
        )
        journal.refused(plan.refusals)
        return if (isActing) execute(plan, now) else journalOnly(plan)
    }

    private fun execute(plan: MovePlan, now: Long): List<Move.Reassignment> {
        plan.moves.filterIsInstance<Move.Stop>().forEach { moveExecutor.stop(it, now) }
        return plan.moves.filterIsInstance<Move.Reassignment>()
    }

    private fun journalOnly(plan: MovePlan): List<Move.Reassignment> {
        plan.moves.forEach { journal.ended(it, MoveState.PROPOSED, null) }
        return emptyList()
    }

    private fun countWaits(cluster: ClusterPressure, now: Long) {
        if (now - waitCausesCountedMs < WAIT_CAUSES_INTERVAL_MS) return
        val seconds = (now - waitCausesCountedMs) / 1000.0
        waitCausesCountedMs = now
        for ((team, counts) in waitCauses.count(partition, cluster, now)) {
            for ((cause, tasks) in counts) journal.waited(team, cause, tasks * seconds)
        }
    }

    /** Stops planning and tracking; called when the partition has another leader or the settings have changed. */
    fun close(now: Long) {
        moveExecutor.stopTracking(now)
        isPlanning = false
    }

    private companion object {
        const val WAIT_CAUSES_INTERVAL_MS = 3_000L
    }
}
