package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings
import kotlin.math.ceil

/**
 * Limits concurrent stops and lost work during planning. The limits on stops are shares of the running tasks, so they
 * apply at any partition size. While the number of stops is below its limits, all tasks that must be stopped for one
 * waiting task may be stopped together, even if that exceeds them; small partitions could never free capacity
 * otherwise.
 */
internal class StopLimits(private val settings: LoadSpreadSettings, private val snapshot: PlannerSnapshot) {
    private var stops = snapshot.open.stops
    private val byTeam = HashMap(snapshot.open.stopsByTeam)
    private val byJob = HashMap(snapshot.open.stopsByJob)
    private val stoppingCores = HashMap(snapshot.open.stoppingCoresByTeam)
    private var lostWorkBudgetCoreS = snapshot.lostWorkBudgetCoreS

    /** Returns why [tasks] may not be stopped together, or null if they may. */
    fun refusalReason(tasks: List<RunningTask>): RefusalReason? {
        val isStopLimitReached = stops >= maxStops(snapshot.running.total, settings.partitionStopShare) ||
            tasks.any { (byTeam[it.team] ?: 0) >= maxStopsOfTeam(it.team) } ||
            tasks.any { (byJob[it.spec.id] ?: 0) >= maxStopsOfJob(it.spec.id) }
        return when {
            isStopLimitReached -> RefusalReason.TOO_MANY_MOVES
            tasks.sumOf { it.lostCoreS } > lostWorkBudgetCoreS -> RefusalReason.LOST_WORK_BUDGET_EXHAUSTED
            else -> null
        }
    }

    private fun maxStopsOfTeam(team: String) = maxStops(snapshot.running.byTeam[team] ?: 0, settings.teamStopShare)

    private fun maxStopsOfJob(job: String) = maxStops(snapshot.running.byJob[job] ?: 0, settings.jobStopShare)

    private fun maxStops(running: Int, share: Double): Int = maxOf(1, ceil(running * share).toInt())

    /** Returns the cores that [team] uses here above its guarantee, minus those of its tasks that are being stopped. */
    fun remainingExcessCores(team: String): Double =
        snapshot.cluster.excessCores(team, snapshot.zone) - (stoppingCores[team] ?: 0.0)

    /** Counts planned stops of [tasks] towards all limits. */
    fun recordStops(tasks: List<RunningTask>) {
        for (task in tasks) {
            stops++
            byTeam.merge(task.team, 1, Int::plus)
            byJob.merge(task.spec.id, 1, Int::plus)
            stoppingCores.merge(task.team, task.spec.cores, Double::plus)
            lostWorkBudgetCoreS -= task.lostCoreS
        }
    }
}
