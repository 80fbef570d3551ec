package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadMode
import io.otterknot.config.LoadSpreadSettings
import io.otterknot.partition.Partition
import io.otterknot.reassignment.TaskReassignment
import io.otterknot.wire.JobSpec
import kotlin.random.Random

/** Load spread for one partition, for as long as this node owns it under one token and with the same settings. */
internal class PartitionMoveExecutor(
    val partition: Partition,
    private val settings: LoadSpreadSettings,
    transfer: TaskReassignment,
    owns: (Partition) -> Boolean,
    targets: (JobSpec) -> List<String>,
    random: Random,
    now: Long,
) {
    private val acts = settings.mode == LoadSpreadMode.ACT
    private val history = MoveHistory()
    private val budget = LostWorkBudget(now)
    private val planner = Planner(settings)
    private val snapshots = SnapshotBuilder(settings, targets, random)
    private val causes = WaitCauses(settings.examinedJobs)
    private var causesMs = now

    val journal = MoveJournal(partition.zone, now, onlyPlans = !acts)
    val mover = Mover(partition, transfer, journal, history, budget) { owns(partition) }

    /** Nothing paused the last turn. */
    var isPlanning = false
        private set

    /** One turn; the handovers that are to be carried out. */
    fun turn(cluster: ClusterPressure, paused: PauseReason?, now: Long, wallMs: Long): List<Move.HandOver> {
        mover.advance(now)
        history.forget(partition, now, (settings.taskCooldownS * 1000).toLong())
        countWaits(cluster, now)
        journal.summariseNowAndThen(now)
        isPlanning = paused == null
        if (paused != null) {
            journal.paused(paused)
            return emptyList()
        }
        budget.refill(now, cluster.partitions.getValue(partition.zone).capacity.cores, settings.lostWorkShare)
        val open = mover.openMoves()
        val plan = planner.plan(snapshots.take(partition, cluster, history, open, budget.left, now, wallMs))
        journal.refused(plan.refusals)
        return if (acts) carryOut(plan, now) else tellOnly(plan)
    }

    private fun carryOut(plan: Plan, now: Long): List<Move.HandOver> {
        plan.moves.filterIsInstance<Move.Stop>().forEach { mover.stop(it, now) }
        return plan.moves.filterIsInstance<Move.HandOver>()
    }

    private fun tellOnly(plan: Plan): List<Move.HandOver> {
        plan.moves.forEach { journal.ended(it, MoveState.PROPOSED, null) }
        return emptyList()
    }

    private fun countWaits(cluster: ClusterPressure, now: Long) {
        if (now - causesMs < CAUSES_MS) return
        val seconds = (now - causesMs) / 1000.0
        causesMs = now
        for ((team, counts) in causes.count(partition, cluster, now)) {
            for ((cause, tasks) in counts) journal.waited(team, cause, tasks * seconds)
        }
    }

    /** The partition has another owner, or the settings have changed. */
    fun close(now: Long) {
        mover.giveUp(now)
        isPlanning = false
    }

    private companion object {
        const val CAUSES_MS = 3_000L
    }
}
